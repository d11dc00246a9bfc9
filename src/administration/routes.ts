/** Every endpoint of the administration API. */
import { CHANGE_ROUTES } from './change-routes.js';
import { CONFIGURATION_ROUTES } from './configuration-routes.js';
import { EVACUATION_ROUTES } from './evacuation-routes.js';
import { QUARANTINE_ROUTES } from './quarantine-routes.js';
import type { Route } from './route.js';
import { SERVICE_ROUTES } from './service-routes.js';
import { STATUS_ROUTES } from './status-routes.js';
import { TENANT_ROUTES } from './tenant-routes.js';
import { TENANT_USAGE_ROUTES } from './tenant-usage-routes.js';
import { TOKEN_ROUTES } from './token-routes.js';

export const ROUTES: readonly Route[] = [
  ...CHANGE_ROUTES,
  ...CONFIGURATION_ROUTES,
  ...EVACUATION_ROUTES,
  ...QUARANTINE_ROUTES,
  ...SERVICE_ROUTES,
  ...STATUS_ROUTES,
  ...TENANT_ROUTES,
  ...TENANT_USAGE_ROUTES,
  ...TOKEN_ROUTES,
];
