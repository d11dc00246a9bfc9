/** The tokens in force. Part of the replicated state; never sent to daemons. */
import { MAXIMUM_TOKENS, type AccessToken } from './access-token.js';
import { ChangeRejectedError } from './change-rejected-error.js';
import type { CommandOf } from './configuration-command.js';

/** Tokens by their public identifier. */
export class TokenStore {
  private tokens = new Map<string, AccessToken>();

  find(tokenId: string): AccessToken | undefined {
    return this.tokens.get(tokenId);
  }

  /** In the order of creation. */
  all(): AccessToken[] {
    return [...this.tokens.values()];
  }

  /** @throws ChangeRejectedError when the identifier is taken or there are too many. */
  create({ request, at }: CommandOf<'createToken'>): void {
    const { tokenId, team, scopes, hash, author } = request;
    if (this.tokens.has(tokenId)) {
      throw new ChangeRejectedError('tokenId', `${tokenId} exists already`);
    }
    if (this.tokens.size >= MAXIMUM_TOKENS) {
      throw new ChangeRejectedError('tokenId', `there are ${MAXIMUM_TOKENS} tokens already`);
    }
    this.tokens.set(tokenId, { tokenId, team, scopes, hash, createdBy: author, createdAt: at });
  }

  /** @throws ChangeRejectedError when there is no such token. */
  revoke({ request }: CommandOf<'revokeToken'>): void {
    if (!this.tokens.delete(request.tokenId)) {
      throw new ChangeRejectedError('tokenId', `there is no token ${request.tokenId}`);
    }
  }

  replace(tokens: readonly AccessToken[]): void {
    this.tokens = new Map(tokens.map((token) => [token.tokenId, token]));
  }
}
