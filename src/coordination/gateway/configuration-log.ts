/** Logs which configuration is in force. */
import type { Logger } from '../../runtime/logger.js';
import type { StorePosition } from '../../runtime/store-position.js';
import type { RoutingConfiguration } from '../../state/routing/configuration.js';

/** Logs a configuration that was applied, with its position in the store. */
export function logConfiguration(
  { version, routes, tenants = [] }: RoutingConfiguration,
  { era, revision }: StorePosition,
  logger: Logger,
): void {
  logger.info('configuration_in_force', {
    version,
    era,
    revision,
    routes: routes.length,
    isolated_tenants: tenants.filter(({ isIsolated }) => isIsolated).length,
  });
}
