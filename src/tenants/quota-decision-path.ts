/** How a gateway decided on a request of a tenant with a limit. The values are metric labels. */
export enum QuotaDecisionPath {
  /** Admitted with a token that the gateway held. */
  Granted = 'granted',
  /** Admitted without a token while an owner is connected; reported to the owner afterwards. */
  Unconfirmed = 'unconfirmed',
  /** Admitted with a token that the request waited for. */
  Asked = 'asked',
  /** Admitted while no owner is connected, within the bound on such uses. */
  WithoutOwner = 'without_owner',
  /** Refused because the tenant has reached its limit. */
  Refused = 'refused',
  /** Refused because no owner could be asked. */
  RefusedWithoutOwner = 'refused_without_owner',
}
