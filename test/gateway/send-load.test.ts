/** Guards against KV memory that is counted several times, too low or after a send has ended. */
import { fc } from '@fast-check/ava';
import test from 'ava';
import { SendLoad } from '../../src/coordination/gateway/send-load.js';
import { LoadTable } from '../../src/state/routing/load-table.js';
import { expectedMemoryUse, wholeMemoryUse } from '../../src/state/routing/memory-use.js';

const ENGINE = 'engine-0';
const SALT = 'model-a@1';
const GENERATION = {
  model: 'model-a',
  parts: [
    { id: 'root', tokens: 2_520 },
    { id: 'subject', tokens: 3_780 },
    { id: 'own', tokens: 2_890 },
  ],
  promptTokens: 9_190,
  maximumOutputTokens: 400,
  expectedOutputTokens: 10,
};

test('parts that an engine has cached are counted once for all requests of a router', (t) => {
  const loads = new LoadTable();
  const cached = expectedMemoryUse(GENERATION, SALT, 6_300);
  const sends = [1, 2, 3].map(() => new SendLoad(loads, ENGINE, 2_890, cached));
  t.is(loads.at(ENGINE).heldTokens, 6_300 + 3 * (2_890 + 10));
  sends[0]?.release();
  t.is(loads.at(ENGINE).heldTokens, 6_300 + 2 * (2_890 + 10));
  sends[1]?.release();
  sends[2]?.release();
  t.is(loads.at(ENGINE).heldTokens, 0);
});

test('parts that an engine has not cached are counted for each request', (t) => {
  const loads = new LoadTable();
  const rootCached = expectedMemoryUse(GENERATION, SALT, 3_000);
  for (let index = 0; index < 2; index += 1) new SendLoad(loads, ENGINE, 6_670, rootCached);
  t.is(loads.at(ENGINE).heldTokens, 2_520 + 2 * (3_780 + 2_890 + 10));
});

test('a stream that outgrows its expected output is counted as at least what it sent', (t) => {
  const loads = new LoadTable();
  const send = new SendLoad(loads, ENGINE, 0, expectedMemoryUse(GENERATION, SALT, 0));
  for (let events = 1; events <= 500; events += 1) {
    send.noteEvent();
    const outputTokens = loads.at(ENGINE).heldTokens - GENERATION.promptTokens;
    t.true(outputTokens >= Math.min(events, 400) && outputTokens <= 400);
  }
  t.is(loads.at(ENGINE).heldTokens, GENERATION.promptTokens + 400);
  send.release();
  t.is(loads.at(ENGINE).heldTokens, 0);
});

test('without a guess the largest output is counted, as without a gap objective', (t) => {
  const unguessed = { ...GENERATION, expectedOutputTokens: undefined };
  t.is(expectedMemoryUse(unguessed, SALT, 0).expectedOutputTokens, 400);
  t.is(wholeMemoryUse(GENERATION).expectedOutputTokens, 400);
});

test('whatever the order of sends and ends, nothing stays counted', (t) => {
  const action = fc.record({
    index: fc.nat({ max: 5 }),
    cachedTokens: fc.constantFrom(0, 2_520, 6_300),
    kind: fc.constantFrom('send', 'event', 'read', 'release'),
  });
  const property = fc.property(fc.array(action, { maxLength: 60 }), (actions) => {
    const loads = new LoadTable();
    const sends = new Map<number, SendLoad>();
    for (const { index, cachedTokens, kind } of actions) {
      const send = sends.get(index);
      if (kind === 'send' && !send) {
        const memory = expectedMemoryUse(GENERATION, SALT, cachedTokens);
        sends.set(index, new SendLoad(loads, ENGINE, 100, memory));
      }
      if (kind === 'event') send?.noteEvent();
      if (kind === 'read') send?.notePromptRead();
      if (kind === 'release') {
        send?.release();
        sends.delete(index);
      }
    }
    const own = [...sends.values()].length * (GENERATION.promptTokens - 6_300);
    t.true(loads.at(ENGINE).heldTokens >= own);
    for (const send of sends.values()) send.release();
    t.deepEqual(loads.at(ENGINE), { requests: 0, unreadTokens: 0, heldTokens: 0 });
  });
  fc.assert(property, { seed: 3, numRuns: 300 });
});
