/** HTTP server of the fake platform: object API and machine list (docs/INTERFACES.md). */
import { HttpStatus } from '../../protocol/http-status.js';
import type Hapi from '@hapi/hapi';
import { z } from 'zod';
import { type Clock, sleep } from '../../runtime/clock.js';
import { machineSchema } from '../../protocol/machine-list/http-client.js';
import {
  type FakeServer,
  addFaultRoute,
  createFakeServer,
  emptyResponse,
  malformedResponse,
  queryNumber,
  startFakeServer,
} from '../http-server.js';
import type { MachineRegistry } from './machine-registry.js';
import type { ObjectStore } from './object-store.js';

const writeSchema = z.strictObject({
  content: z.string(),
  expected_version: z.number().int().min(0),
});

const faultsSchema = z.strictObject({
  down: z.boolean().optional(),
  delay_ms: z.number().min(0).optional(),
  lose_write_answers: z.number().int().min(0).optional(),
});

/** Starts the HTTP server of the fake platform. */
export function startPlatformServer(
  store: ObjectStore,
  machines: MachineRegistry,
  clock: Clock,
  address: string,
): Promise<FakeServer> {
  const server = createFakeServer(address);
  server.ext('onPreHandler', async (request, h) => {
    if (request.path.startsWith('/lab/')) return h.continue;
    await sleep(clock, store.faults.delayMs);
    if (!store.faults.down) return h.continue;
    request.raw.req.socket.destroy();
    return h.abandon;
  });
  addObjectRoutes(server, store);
  addMachineRoutes(server, machines);
  addFaultRoute(server, faultsSchema, (faults) => applyFaults(store, faults));
  return startFakeServer(server);
}

function addObjectRoutes(server: Hapi.Server, store: ObjectStore): void {
  server.route({
    method: 'GET',
    path: '/objects/{name}',
    handler: async (request, h) => {
      const name = String(request.params.name);
      const after = queryNumber(request, 'after', -1);
      if (after < 0) return store.read(name) ?? h.response({}).code(HttpStatus.NotFound);
      const object = await store.watch(name, after, queryNumber(request, 'wait_ms', 0));
      return object ?? h.response().code(HttpStatus.NotModified);
    },
  });
  server.route({
    method: 'PUT',
    path: '/objects/{name}',
    handler: (request, h) => {
      const body = writeSchema.safeParse(request.payload);
      if (!body.success) return malformedResponse(h);
      const { content, expected_version: expectedVersion } = body.data;
      const result = store.write(String(request.params.name), content, expectedVersion);
      if (store.faults.loseWriteResponses > 0) {
        store.faults.loseWriteResponses -= 1;
        request.raw.req.socket.destroy();
        return h.abandon;
      }
      if (result.kind === 'written') return { version: result.version };
      return h.response({ version: result.presentVersion }).code(HttpStatus.Conflict);
    },
  });
}

function addMachineRoutes(server: Hapi.Server, machines: MachineRegistry): void {
  server.route({
    method: 'GET',
    path: '/machines',
    handler: async (request, h) => {
      const after = queryNumber(request, 'after', -1);
      const list = await machines.watch(after, queryNumber(request, 'wait_ms', 0));
      return list ?? h.response().code(HttpStatus.NotModified);
    },
  });
  server.route({
    method: 'PUT',
    path: '/machines/{id}',
    handler: (request, h) => {
      const machine = machineSchema.safeParse(request.payload);
      if (!machine.success) return malformedResponse(h);
      machines.put(machine.data);
      return emptyResponse(h);
    },
  });
  server.route({
    method: 'DELETE',
    path: '/machines/{id}',
    handler: (request, h) => {
      machines.remove(String(request.params.id));
      return emptyResponse(h);
    },
  });
}

function applyFaults({ faults }: ObjectStore, update: z.infer<typeof faultsSchema>): void {
  faults.down = update.down ?? faults.down;
  faults.delayMs = update.delay_ms ?? faults.delayMs;
  faults.loseWriteResponses = update.lose_write_answers ?? faults.loseWriteResponses;
}
