/** `driftway tokens create`, `revoke` and `list`. */
import { Command, Option } from 'clipanion';
import type { DoneResult, TokenList } from '../administration/response-schemas.js';
import { formatTable, formatTime } from '../operator/format-table.js';
import type { OperatorClient } from '../operator/operator-client.js';
import { OperatorError, OperatorExitCode } from '../operator/operator-error.js';
import type { CreateTokenRequest, RevokeTokenRequest } from '../settings/access-token.js';
import { createTokenText, hashToken } from '../settings/token-text.js';
import { OperatorCommand } from './operator-command.js';
import { OperatorRecordedCommand } from './operator-recorded-command.js';

/** A created token with its text, which is shown this once. */
interface CreatedToken extends DoneResult {
  readonly tokenId: string;
  readonly token: string;
}

export class TokensCreateCommand extends OperatorRecordedCommand {
  static override paths = [['tokens', 'create']];
  static override usage = Command.Usage({
    category: 'Tokens',
    description: 'Create a token for a team, limited to subtrees of the settings tree',
    details: `
      The token's text is made here and printed once; the controllers get its hash only. It may
      change what lies beneath its scopes: \`defaults\` is everything, \`region/NAME\` the region
      with its zones and services. Every token may read everything but tokens and digests of API keys.
    `,
    examples: [
      [
        'For the audit team',
        'driftway tokens create audit-2026 --team audit --scope service/kifu-audit',
      ],
    ],
  });

  tokenId = Option.String({ name: 'NAME' });
  team = Option.String('--team', { required: true, description: 'Recorded with every change' });
  scopes = Option.Array('--scope', { required: true, description: 'Subtree; repeatable' });

  protected override async run(client: OperatorClient): Promise<CreatedToken> {
    const token = createTokenText(this.tokenId);
    const request: CreateTokenRequest = {
      ...this.recordFields(),
      tokenId: this.tokenId,
      team: this.team,
      scopes: this.scopes,
      hash: hashToken(token),
    };
    const result = await this.create(client, request);
    return { ...result, tokenId: this.tokenId, token };
  }

  /** The text of a token that may or may not be there is not shown: it is revoked instead. */
  private async create(client: OperatorClient, request: CreateTokenRequest): Promise<DoneResult> {
    try {
      return await client.post<DoneResult>('/v1/tokens', request);
    } catch (error) {
      if (error instanceof OperatorError && error.exitCode === OperatorExitCode.OutcomeUnknown) {
        this.context.stderr.write(
          `The token may be there, with a text that is lost. See driftway tokens list; if it is, ` +
            `driftway tokens revoke ${this.tokenId} and create it again.\n`,
        );
      }
      throw error;
    }
  }

  protected override format(answer: unknown): string {
    const { tokenId, token } = answer as CreatedToken;
    return `${token}\n(token ${tokenId}; keep it now, it is not shown again)\n`;
  }
}

export class TokensRevokeCommand extends OperatorRecordedCommand {
  static override paths = [['tokens', 'revoke']];
  static override usage = Command.Usage({
    category: 'Tokens',
    description: 'Revoke a token at once',
    examples: [['A token that leaked', 'driftway tokens revoke audit-2026 -m "leaked"']],
  });

  tokenId = Option.String({ name: 'NAME' });

  protected override run(client: OperatorClient): Promise<DoneResult> {
    const request: RevokeTokenRequest = { ...this.recordFields(), tokenId: this.tokenId };
    const { changeId } = request;
    this.context.stderr.write(
      `sending change ${changeId}; should the answer be lost, repeat the command with ` +
        `--change-id ${changeId}\n`,
    );
    return client.post<DoneResult>('/v1/tokens/revoke', request);
  }

  protected override format(): string {
    return `token ${this.tokenId} is revoked\n`;
  }
}

export class TokensListCommand extends OperatorCommand {
  static override paths = [['tokens', 'list']];
  static override usage = Command.Usage({
    category: 'Tokens',
    description: 'List tokens with their teams and scopes, and the last creations and revocations',
    examples: [['All tokens', 'driftway tokens list']],
  });

  protected override run(client: OperatorClient): Promise<TokenList> {
    return client.get<TokenList>('/v1/tokens');
  }

  protected override format(answer: unknown): string {
    const { tokens, records } = answer as TokenList;
    const rows = tokens.map(({ tokenId, team, scopes, createdBy, createdAt }) => [
      tokenId,
      team,
      scopes.join(', '),
      createdBy,
      formatTime(createdAt),
    ]);
    const done = records.map(({ at, action, tokenId, author, reason }) => [
      formatTime(at),
      action,
      tokenId,
      author,
      reason,
    ]);
    const table = formatTable(['TOKEN', 'TEAM', 'SCOPES', 'CREATED BY', 'CREATED'], rows);
    return `${table}\n${formatTable(['TIME', 'ACTION', 'TOKEN', 'AUTHOR', 'REASON'], done)}`;
  }
}
