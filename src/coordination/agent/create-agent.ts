/** Creates an agent from its settings and a dependency container. */
import 'reflect-metadata';
import type { DependencyContainer } from 'tsyringe';
import { AGENT_SETTINGS, AgentNode } from './agent-node.js';
import type { AgentSettings } from './settings.js';

/** The container must provide the clock, random source, hasher, logger and frame transport. */
export function createAgent(container: DependencyContainer, settings: AgentSettings): AgentNode {
  const childContainer = container.createChildContainer();
  childContainer.register(AGENT_SETTINGS, { useValue: settings });
  return childContainer.resolve(AgentNode);
}
