/** Dependency-injection containers of the daemons. */
import 'reflect-metadata';
import { type DependencyContainer, container as root } from 'tsyringe';
import { SystemClock } from '../runtime/clock.js';
import { createHasher } from '../runtime/hasher.js';
import type { Logger } from '../runtime/logger.js';
import { SystemRandom } from '../runtime/random.js';
import {
  CLOCK,
  DATAGRAM_TRANSPORT,
  FRAME_TRANSPORT,
  HASHER,
  LOGGER,
  RANDOM,
} from '../runtime/injection-tokens.js';
import { TcpFrameTransport } from '../transport/tcp-frame-transport.js';
import { UdpDatagramTransport } from '../transport/udp-datagram-transport.js';
import { HttpEngineClient } from '../protocol/engine/http-client.js';
import { HttpMachineListClient } from '../protocol/machine-list/http-client.js';
import { HttpObjectApiClient } from '../protocol/object-api/http-client.js';
import { HttpPlainBackendClient } from '../protocol/plain-backend/http-client.js';
import {
  BACKEND_PORT,
  ENGINE_PORT,
  MACHINE_LIST_PORT,
  OBJECT_API_PORT,
} from '../coordination/router/tokens.js';

/** Creates a container with the dependencies of every daemon. */
export async function createDaemonContainer(logger: Logger): Promise<DependencyContainer> {
  const container = root.createChildContainer();
  container.register(CLOCK, { useValue: new SystemClock() });
  container.register(RANDOM, { useValue: new SystemRandom() });
  container.register(HASHER, { useValue: await createHasher() });
  container.register(LOGGER, { useValue: logger });
  container.register(FRAME_TRANSPORT, { useValue: new TcpFrameTransport() });
  container.register(DATAGRAM_TRANSPORT, { useValue: new UdpDatagramTransport() });
  return container;
}

/** Registers the clients for the external systems that a router uses. */
export function addRouterPorts(
  container: DependencyContainer,
  objectApi: string,
  machineList: string,
): void {
  container.register(ENGINE_PORT, { useValue: new HttpEngineClient() });
  container.register(BACKEND_PORT, { useValue: new HttpPlainBackendClient() });
  container.register(OBJECT_API_PORT, { useValue: new HttpObjectApiClient(objectApi) });
  container.register(MACHINE_LIST_PORT, { useValue: new HttpMachineListClient(machineList) });
}
