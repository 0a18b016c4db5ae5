/** Builds a router from its settings and a container that holds its surroundings. */
import 'reflect-metadata';
import type { DependencyContainer } from 'tsyringe';
import { RouterNode } from './router-node.js';
import { ALL_PROTECTIONS, type Protections, type RouterSettings } from './settings.js';
import { PROTECTIONS, ROUTER_SETTINGS } from './tokens.js';

/**
 * The container must hold clock, randomness, hasher, logger, both transports and the ports of the
 * outside systems. Nothing of a router is shared, so that many live in one process.
 */
export function createRouter(
  container: DependencyContainer,
  settings: RouterSettings,
  protections: Protections = ALL_PROTECTIONS,
): RouterNode {
  const own = container.createChildContainer();
  own.register(ROUTER_SETTINGS, { useValue: settings });
  own.register(PROTECTIONS, { useValue: protections });
  return own.resolve(RouterNode);
}
