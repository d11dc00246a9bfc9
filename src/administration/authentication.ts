/** Finds whose bearer token a request carries. */
import type { HttpHeaders } from '../seams/http.js';
import type { ConfigurationStateMachine } from '../settings/configuration-state-machine.js';
import type { Principal } from '../settings/principal.js';
import { tokenIdOf, tokenMatches } from '../settings/token-text.js';
import { AdministrationError } from './administration-error.js';

const STEP = 'authenticate';
const BEARER = /^Bearer ([\x21-\x7e]{1,256})$/i;

/** Checks tokens against the replicated state and the bootstrap token's hash. */
export class Authenticator {
  constructor(
    private readonly machine: ConfigurationStateMachine,
    private readonly bootstrapTokenHash: string | undefined,
    /** Brings the local state up to date. */
    private readonly catchUp: () => Promise<void>,
  ) {}

  /**
   * The token's holder. A token unknown here may have been created a moment ago
   * at another controller, so the local state is brought up to date before it
   * is turned down.
   *
   * @throws AdministrationError `unauthorized`, or `unavailable` when the
   *   state could not be brought up to date.
   */
  async authenticate(headers: HttpHeaders): Promise<Principal> {
    const text = BEARER.exec(headers['authorization'] ?? '')?.[1];
    if (text === undefined) {
      throw new AdministrationError(
        'unauthorized',
        STEP,
        'send the header "authorization: Bearer TOKEN"',
      );
    }
    if (this.bootstrapTokenHash !== undefined && tokenMatches(text, this.bootstrapTokenHash)) {
      return { kind: 'bootstrap' };
    }
    const tokenId = tokenIdOf(text);
    if (tokenId !== undefined) {
      if (this.machine.token(tokenId) === undefined) await this.catchUp();
      const token = this.machine.token(tokenId);
      if (token !== undefined && tokenMatches(text, token.hash)) return { kind: 'token', tokenId };
    }
    throw new AdministrationError('unauthorized', STEP, 'no such token, or it has been revoked');
  }
}
