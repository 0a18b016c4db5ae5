/** Guards against requests that wait although engines have room, in routers with few sends a report. */
import test from 'ava';
import {
  type QueueContext,
  RequestQueues,
} from '../../src/coordination/gateway/admission/request-queues.js';
import { queueSettingsFor } from '../../src/coordination/gateway/admission/queue-settings.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import type { Service } from '../../src/state/routing/configuration.js';
import { EngineHealth } from '../../src/state/routing/engine-health.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { engineRecord } from '../helpers/engine-record.js';

const SERVICE = { name: 'plain' } as Service;

function isEffective(engines: number, slots: number, share: number): boolean {
  const registry = new EngineRegistry();
  for (let index = 0; index < engines; index += 1) {
    registry.put(engineRecord(`engine-${index}`, 1, { service: SERVICE.name, slots }));
  }
  const context = {
    registry,
    health: new EngineHealth(),
    clock: new VirtualClock(),
    shareOfTraffic: () => share,
  };
  const queues = new RequestQueues(queueSettingsFor(), context as unknown as QueueContext);
  return queues.isEffectiveFor(SERVICE);
}

test('requests wait only where the part of the slots is at least two sends', (t) => {
  t.true(isEffective(3, 6, 1 / 3));
  t.true(isEffective(63, 24, 1 / 84));
  t.false(isEffective(3, 6, 1 / 84));
  t.false(isEffective(0, 6, 1));
});
