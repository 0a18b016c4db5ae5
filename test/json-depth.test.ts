/** Guards against JSON texts whose depth exhausts the memory or the stack of a router. */
import test from 'ava';
import fc from 'fast-check';
import { MAXIMUM_JSON_DEPTH, limitJsonDepth } from '../src/protocol/json-depth.js';
import { nested } from './helpers/odd-entries.js';

const SEED = { seed: 8_282, numRuns: 1_000 };

function depthOf(value: unknown): number {
  if (typeof value !== 'object' || value === null) return 0;
  return 1 + Math.max(0, ...Object.values(value).map(depthOf));
}

test('a text of the maximum depth is unchanged, and a deeper one is cut there', (t) => {
  const allowed = nested(MAXIMUM_JSON_DEPTH);
  t.is(limitJsonDepth(allowed), allowed);
  for (const depth of [MAXIMUM_JSON_DEPTH + 1, 1_000, 500_000]) {
    const limited = limitJsonDepth(`{"before":[1],"deep":${nested(depth)},"after":"x"}`);
    const parsed = JSON.parse(limited) as Record<string, unknown>;
    t.is(depthOf(parsed), MAXIMUM_JSON_DEPTH);
    t.like(parsed, { before: [1], after: 'x' });
  }
});

test('brackets within strings do not count', (t) => {
  for (const string of ['['.repeat(1_000), '\\"[{'.repeat(1_000), `${'\\\\'.repeat(99)}`]) {
    const text = `{"a":"${string}","b":[["${string}"]]}`;
    t.is(limitJsonDepth(text), text);
  }
});

test('a text that is not JSON stays unreadable', (t) => {
  for (const text of ['['.repeat(1_000), `"${nested(100)}`, ']'.repeat(100), `${nested(100)}]`])
    t.throws(() => {
      JSON.parse(limitJsonDepth(text));
    });
});

test('any value within the depth is read as it was written', (t) => {
  const property = fc.property(fc.json({ maxDepth: 5 }), (text) => {
    t.is(limitJsonDepth(text), text);
  });
  fc.assert(property, SEED);
});
