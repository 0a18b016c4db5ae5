/** Creates a router from its settings and a dependency container. */
import 'reflect-metadata';
import type { DependencyContainer } from 'tsyringe';
import { RouterNode } from './router-node.js';
import { ALL_PROTECTIONS, type Protections, type RouterSettings } from './settings.js';
import { PROTECTIONS, ROUTER_SETTINGS } from './tokens.js';

/**
 * The container must provide the clock, random source, hasher, logger, both transports and the
 * ports of the external systems. Routers share no state, so one process can run several.
 */
export function createRouter(
  container: DependencyContainer,
  settings: RouterSettings,
  protections: Protections = ALL_PROTECTIONS,
): RouterNode {
  const childContainer = container.createChildContainer();
  childContainer.register(ROUTER_SETTINGS, { useValue: settings });
  childContainer.register(PROTECTIONS, { useValue: protections });
  return childContainer.resolve(RouterNode);
}
