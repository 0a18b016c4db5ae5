/** Guards against lost or repeated load commands, and a wrong order of succession. */
import test from 'ava';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { LoadCommands } from '../../src/state/routing/load-commands.js';
import { CoordinatorSuccession } from '../../src/state/routing/coordinator-succession.js';
import { engineRecord } from '../helpers/engine-record.js';
import { positionAt } from '../helpers/positions.js';

const MODEL = 'model-a';

test('the delay after refused load commands doubles up to a maximum, until a load completes', (t) => {
  const commands = new LoadCommands();
  let nowMs = 0;
  const delaysMs: number[] = [];
  for (let attempt = 0; attempt < 5; attempt += 1) {
    commands.add('engine', MODEL, 2, nowMs);
    t.true(commands.isLoading('engine'));
    commands.recordRefusal('engine', nowMs);
    t.is(commands.isLoading('engine'), undefined);
    const refusedMs = nowMs;
    while (commands.isPaused('engine', nowMs)) nowMs += 100;
    delaysMs.push(nowMs - refusedMs);
  }
  t.deepEqual(delaysMs, [400, 800, 1_600, 3_200, 3_200]);
  commands.add('engine', MODEL, 2, nowMs);
  t.is(commands.complete('engine', nowMs + 900), 900);
  commands.recordRefusal('engine', nowMs + 1_000);
  t.true(commands.isPaused('engine', nowMs + 1_399));
  t.false(commands.isPaused('engine', nowMs + 1_400));
});

test('engines are polled first after 90 percent of the fastest observed load', (t) => {
  const commands = new LoadCommands();
  commands.add('first', MODEL, 2, 0);
  t.is(commands.dueForPolling(399).length, 0);
  t.is(commands.dueForPolling(400).length, 1);
  commands.complete('first', 1_000);
  commands.add('second', MODEL, 2, 2_000);
  t.is(commands.dueForPolling(2_899).length, 0);
  t.is(commands.dueForPolling(2_900).length, 1);
});

test('a load in progress is announced again each second, and its completion until it expires', (t) => {
  const commands = new LoadCommands();
  commands.add('engine', MODEL, 2, 0);
  t.like(commands.announcements(900)[0], { isLoading: true, ageMs: 900 });
  t.like(commands.announcements(1_100)[0], { isLoading: true, ageMs: 100 });
  commands.complete('engine', 1_200);
  t.like(commands.announcements(2_000)[0], { isLoading: false, ageMs: 800 });
  commands.expire(3_700);
  t.deepEqual(commands.announcements(3_700), []);
});

test('the lease holder precedes all other routers, which follow in the order of succession', (t) => {
  const routers = ['a', 'b', 'c', 'd'];
  const successions = routers.map(
    (own) =>
      new CoordinatorSuccession(
        own,
        () => routers,
        (router) => routers.includes(router),
      ),
  );
  const preceding = (): number[] =>
    successions.map((succession) => succession.precedingRouterCount);
  t.deepEqual(preceding(), [0, 1, 2, 3]);
  for (const succession of successions) succession.recordLeaseHolder('c', positionAt(7));
  t.deepEqual(preceding(), [1, 2, 2, 3]);
  for (const succession of successions) succession.recordLeaseHolder('b', positionAt(5));
  t.deepEqual(preceding(), [1, 2, 2, 3]);
  const [first] = successions;
  t.is(first?.earliestStartMs(10_000), 11_000);
  first?.recordPeerCommand(10_500);
  t.is(first?.earliestStartMs(10_000), 13_000);
});

test('an outdated list does not bring back a replaced incarnation', (t) => {
  const registry = new EngineRegistry();
  const record = engineRecord('engine-1', undefined);
  registry.put(record);
  t.true(registry.noteReplaced('engine-1'));
  t.false(registry.noteReplaced('engine-1'));
  registry.put(record);
  t.is(registry.ofService('generation').length, 0);
  registry.put({ ...record, id: 'engine-2', name: 'engine-2' });
  t.is(registry.ofService('generation').length, 1);
});
