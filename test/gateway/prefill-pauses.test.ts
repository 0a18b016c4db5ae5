/**
 * Guards against engines that are believed slow because they prefill other prompts, and against slow
 * engines that are not detected because prompts wait there.
 */
import test from 'ava';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import type { EngineRecord } from '../../src/state/routing/engine-record.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { engineRecord } from '../helpers/engine-record.js';
import { speedExchange } from '../helpers/speed-learning.js';

const PAUSE_MS = 30;
const OBSERVED_PAUSES = 20;

/** A router that has observed three engines of the same speed. */
async function knownEngines() {
  const clock = new VirtualClock();
  const registry = new EngineRegistry();
  const add = (name: string): EngineRecord => {
    const record = engineRecord(name, 1);
    registry.put(record);
    return record;
  };
  const { part } = speedExchange('router-0', registry, clock);
  const observe = async (
    engines: readonly EngineRecord[],
    pauseMs: number,
    queuedTokens: number,
  ): Promise<void> => {
    for (let pause = 0; pause < OBSERVED_PAUSES; pause += 1) {
      await clock.advance(pauseMs);
      for (const engine of engines) part.notePause(engine, pauseMs, queuedTokens);
      part.takeOwn(20, clock.now());
    }
  };
  const known = ['engine-0', 'engine-1', 'engine-2'].map(add);
  await observe(known, PAUSE_MS, 0);
  return { part, add, observe, known };
}

test('an engine of unknown speed that prefills other prompts does not count as slow', async (t) => {
  const { part, add, observe } = await knownEngines();
  const engine = add('engine-new');
  await observe([engine], 7 * PAUSE_MS, 8_000);
  t.not(part.table.beliefOf(engine.id), undefined);
  t.false(part.table.isSlow(engine.id));
});

test('an engine that became slow counts as slow although many prompts wait there', async (t) => {
  const { part, observe, known } = await knownEngines();
  const [engine] = known;
  if (!engine) return t.fail();
  await observe([engine], 1_000, 60_000);
  t.true(part.table.isSlow(engine.id));
});
