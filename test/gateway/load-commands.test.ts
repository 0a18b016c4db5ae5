/** What a router remembers of its orders, and whose turn it is to give them. */
import test from 'ava';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { LoadCommands } from '../../src/state/routing/load-commands.js';
import { CoordinatorSuccession } from '../../src/state/routing/coordinator-succession.js';
import { engineRecord } from '../helpers/engine-record.js';
import { positionAt } from '../helpers/positions.js';

const MODEL = 'model-a';

test('an engine that takes no order is left alone for longer each time, until one is done', (t) => {
  const book = new LoadCommands();
  let nowMs = 0;
  const pauses: number[] = [];
  for (let turn = 0; turn < 5; turn += 1) {
    book.open('engine', MODEL, 2, nowMs);
    t.true(book.isLoading('engine'));
    book.giveUp('engine', nowMs);
    t.is(book.isLoading('engine'), undefined);
    const beganMs = nowMs;
    while (book.isPaused('engine', nowMs)) nowMs += 100;
    pauses.push(nowMs - beganMs);
  }
  t.deepEqual(pauses, [400, 800, 1_600, 3_200, 3_200]);
  book.open('engine', MODEL, 2, nowMs);
  t.is(book.finish('engine', nowMs + 900), 900);
  book.giveUp('engine', nowMs + 1_000);
  t.true(book.isPaused('engine', nowMs + 1_399));
  t.false(book.isPaused('engine', nowMs + 1_400));
});

test('engines are asked first when the fastest load seen is nearly over', (t) => {
  const book = new LoadCommands();
  book.open('first', MODEL, 2, 0);
  t.is(book.toPoll(399).length, 0);
  t.is(book.toPoll(400).length, 1);
  book.finish('first', 1_000);
  book.open('second', MODEL, 2, 2_000);
  t.is(book.toPoll(2_899).length, 0);
  t.is(book.toPoll(2_900).length, 1);
});

test('a load that lasts is told anew each second, and its end for a while', (t) => {
  const book = new LoadCommands();
  book.open('engine', MODEL, 2, 0);
  t.like(book.news(900)[0], { isLoading: true, ageMs: 900 });
  t.like(book.news(1_100)[0], { isLoading: true, ageMs: 100 });
  book.finish('engine', 1_200);
  t.like(book.news(2_000)[0], { isLoading: false, ageMs: 800 });
  book.expire(3_700);
  t.deepEqual(book.news(3_700), []);
});

test('the holder comes first, then the others in their order, while it is silent', (t) => {
  const routers = ['a', 'b', 'c', 'd'];
  const turns = routers.map(
    (own) =>
      new CoordinatorSuccession(
        own,
        () => routers,
        (router) => routers.includes(router),
      ),
  );
  const before = (): number[] => turns.map((turn) => turn.routersBefore);
  t.deepEqual(before(), [0, 1, 2, 3]);
  for (const turn of turns) turn.noteHolder('c', positionAt(7));
  t.deepEqual(before(), [1, 2, 2, 3]);
  for (const turn of turns) turn.noteHolder('b', positionAt(5));
  t.deepEqual(before(), [1, 2, 2, 3]);
  const [first] = turns;
  t.is(first?.beginsMs(10_000), 11_000);
  first?.noteOrder(10_500);
  t.is(first?.beginsMs(10_000), 13_000);
});

test('an incarnation that was replaced does not come back with an old list', (t) => {
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
