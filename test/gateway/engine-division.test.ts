/** Long and short prompts at engines apart, under the load that this answers. */
import test from 'ava';
import { EngineDivision } from '../../src/state/routing/engine-division.js';
import type { GenerationShape } from '../../src/state/routing/generation.js';
import { PlacementWorld } from '../helpers/placement-world.js';

const PLACES = Array.from({ length: 10 }, (_, index) => index / 10);

function promptOf(promptTokens: number): GenerationShape {
  return { model: 'model-a', parts: [], promptTokens, maximumOutputTokens: 10 };
}

test('engines are divided by the share of the reading that is for long prompts', (t) => {
  const division = new EngineDivision();
  t.is(division.longUpTo(PLACES), undefined);
  for (let count = 0; count < 10; count += 1) {
    division.note(promptOf(9_000), 7_000, 0);
    for (let each = 0; each < 3; each += 1) division.note(promptOf(1_000), 1_000, 0);
  }
  t.is(division.longUpTo(PLACES), 0.6);
});

test('a router that sends prompts of one kind only divides no engines', (t) => {
  for (const tokens of [9_000, 900]) {
    const division = new EngineDivision();
    for (let count = 0; count < 100; count += 1) division.note(promptOf(tokens), tokens, 0);
    t.is(division.longUpTo(PLACES), undefined);
  }
});

test('the division holds still while the share changes by little, and follows it otherwise', (t) => {
  const division = new EngineDivision();
  const note = (long: number, short: number): void => {
    division.note(promptOf(9_000), long, 0);
    division.note(promptOf(900), short, 0);
  };
  note(50_000, 50_000);
  t.is(division.longUpTo(PLACES), 0.4);
  note(10_000, 0);
  t.is(division.longUpTo(PLACES), 0.4);
  note(200_000, 0);
  t.is(division.longUpTo(PLACES), 0.7);
});

/** Both kinds of a shared deployment, a third over the usual load: one engine in two reads at any moment. */
test('under load short streams are in time beside long prompts', async (t) => {
  const long = {
    name: 'long',
    perSecond: 46,
    subjects: 440,
    sharedTokens: 6_300,
    ownTokens: 2_890,
    outputTokens: 9,
    objectiveMs: 815,
    longestPauseMs: 600,
    priority: 1,
  };
  const short = {
    name: 'short',
    perSecond: 86,
    subjects: 318,
    sharedTokens: 198,
    ownTokens: 628,
    outputTokens: 49,
    objectiveMs: 607,
    longestPauseMs: 600,
    priority: 0,
  };
  const scenario = { routers: 12, engines: 21, zones: 3, seed: 7, kinds: [long, short] };
  const world = await PlacementWorld.create(scenario);
  const PLAY_MS = 10_000;
  await world.play(PLAY_MS);
  const shareInTime = (name: string): number => {
    const figures = world.figures.get(name);
    return figures ? figures.inTime / figures.asked : 0;
  };
  t.log(shareInTime('long'), shareInTime('short'));
  t.true(shareInTime('short') > 0.93);
  t.true(shareInTime('long') > 0.9);
});
