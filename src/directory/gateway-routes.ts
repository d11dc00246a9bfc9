/** Route document state of a gateway, as known to a controller that the gateway follows. */
export interface GatewayRoutes {
  readonly gateway: string;
  readonly zone: string;
  /** Document version in force in the gateway at its last confirmation; `NO_DOCUMENT` if none was. */
  readonly version: number;
  /** How long the gateway has lacked the controller's newer version; undefined if it lacks none. */
  readonly lackingMs: number | undefined;
  /** Names of the controllers responsible for sending it newer versions. */
  readonly owedBy: readonly string[];
}
