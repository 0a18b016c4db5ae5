/** Guards against lost or misreported configuration writes after lost responses and conflicts. */
import test from 'ava';
import { differencesBetween } from '../src/operator/template-difference.js';
import { TemplateStore } from '../src/operator/template-store.js';
import { setTenantParameter } from '../src/operator/tenant-parameter.js';
import { ProtocolFailure } from '../src/protocol/errors.js';
import type { ObjectApiPort } from '../src/protocol/object-api/port.js';
import { ObjectStore } from '../src/lab/platform/object-store.js';
import { VirtualClock } from '../src/runtime/virtual-clock.js';
import { simulationTemplates } from '../src/lab/simulation/simulation-settings.js';

/** A port to a store; with `lose`, responses are lost before or after the write takes effect. */
function portOf(store: ObjectStore, lose: 'none' | 'before' | 'after'): ObjectApiPort {
  const lost = new ProtocolFailure({ kind: 'interrupted', address: 'store', reason: 'lost' });
  return {
    read: (name) => Promise.resolve(store.read(name)),
    write: (name, content, expected) => {
      if (lose === 'before') return Promise.reject(lost);
      const result = store.write(name, content, expected);
      if (lose === 'after') return Promise.reject(lost);
      if (result.kind === 'written') return Promise.resolve(result.version);
      const { presentVersion } = result;
      return Promise.reject(new ProtocolFailure({ kind: 'conflict', presentVersion }));
    },
    watch: () => Promise.resolve(undefined),
  };
}

test('a write that took effect without a response is confirmed by reading it back', async (t) => {
  const clock = new VirtualClock();
  const store = new TemplateStore(portOf(new ObjectStore(clock), 'after'), clock);
  t.deepEqual(await store.write(simulationTemplates('v1', 0), 0, 'operation-1'), {
    kind: 'written',
    version: 1,
  });
});

test('a write that never reached the store is reported as uncertain', async (t) => {
  const clock = new VirtualClock();
  const store = new TemplateStore(portOf(new ObjectStore(clock), 'before'), clock);
  const writing = store.write(simulationTemplates('v1', 0), 0, 'operation-1');
  for (let step = 0; step < 10; step += 1) await clock.advance(1_000);
  t.is((await writing).kind, 'uncertain');
});

test('of two concurrent writes, one gets a conflict with the version of the other', async (t) => {
  const clock = new VirtualClock();
  const objects = new ObjectStore(clock);
  const store = new TemplateStore(portOf(objects, 'none'), clock);
  await store.write(simulationTemplates('v1', 0), 0, 'first');
  t.is((await store.write(simulationTemplates('v1', 1), 1, 'mine')).kind, 'written');
  const outcome = await store.write(simulationTemplates('v2', 0), 1, 'theirs');
  t.is(outcome.kind, 'conflict');
  if (outcome.kind !== 'conflict') return;
  t.is(outcome.current.operationId, 'mine');
  const differences = differencesBetween(simulationTemplates('v1', 0), outcome.current.set);
  t.deepEqual(
    differences.map(({ entry }) => entry),
    ['templates/standard'],
  );
});

test('a parameter is set for one tenant, and an invalid value is reported with its path', (t) => {
  const set = simulationTemplates('v1', 0);
  const verdict = setTenantParameter(set, 'tenant-a', 'priority=5');
  t.is(verdict.kind === 'valid' ? verdict.set.tenants['tenant-a']?.parameters.priority : 0, 5);
  const refused = setTenantParameter(set, 'tenant-a', 'site_shares={old: 0.5, new: 0.4}');
  t.is(
    refused.kind === 'invalid' ? refused.problems[0]?.path : '',
    'tenants.tenant-a.parameters.site_shares',
  );
});
