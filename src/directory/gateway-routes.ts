/** How far a gateway is with the route document, as a controller that it follows knows. */
export interface GatewayRoutes {
  readonly gateway: string;
  readonly zone: string;
  /** In force there when it last spoke; `NO_DOCUMENT` when none was. */
  readonly version: number;
  /** For how long it has lacked a newer version that the controller has; undefined when it lacks none. */
  readonly lackingMs: number | undefined;
  /** Names of the controllers that are to send it newer versions. */
  readonly owedBy: readonly string[];
}
