/** How a request of a tenant with a limit was decided at a gateway. */
export enum QuotaDecisionPath {
  /** By a token that was held. */
  Granted = 'granted',
  /** Without a token; the owner is told. */
  Unconfirmed = 'unconfirmed',
  /** By a token that it waited for. */
  Asked = 'asked',
  /** Without an owner, within the bound for that. */
  WithoutOwner = 'without_owner',
  /** The tenant has reached its limit. */
  Refused = 'refused',
  /** No owner could be asked. */
  RefusedWithoutOwner = 'refused_without_owner',
}
