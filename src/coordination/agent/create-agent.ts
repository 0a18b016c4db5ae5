/** Builds an agent from its settings and a container that holds its surroundings. */
import 'reflect-metadata';
import type { DependencyContainer } from 'tsyringe';
import { AGENT_SETTINGS, AgentNode } from './agent-node.js';
import type { AgentSettings } from './settings.js';

/** The container must hold clock, randomness, hasher, logger and the frame transport. */
export function createAgent(container: DependencyContainer, settings: AgentSettings): AgentNode {
  const own = container.createChildContainer();
  own.register(AGENT_SETTINGS, { useValue: settings });
  return own.resolve(AgentNode);
}
