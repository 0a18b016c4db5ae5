/**
 * Guards against sound reads that are rejected for good because several engines crashed while copies
 * of them were in progress, and against requests that crash all engines of a service again and again.
 */
import test from 'ava';
import { CrashingFleet } from '../helpers/crashing-fleet.js';

const SEEDS = [91, 92, 93];
const BEFORE_MS = 1_000;
/** Engines are back 3 s after a crash; their routers serve soon after. */
const AFTER_MS = 16_000;
/** A sound read may be rejected until the engines are back, but not for good. */
const LAST_READS_SERVED = 95;

interface Trouble {
  readonly description: string;
  readonly serviceMs: number;
  play(fleet: CrashingFleet): Promise<void>;
}

/** Time between two crashes of all engines: they are back after 3 s. */
const TWICE_MS = 5_000;
const REAL_INTERVAL_MS = 680;

const TROUBLES: readonly Trouble[] = [
  {
    description: 'crash at one moment during short reads',
    serviceMs: 150,
    play: async (fleet) => {
      await fleet.crashDuringReads();
      await fleet.read(AFTER_MS);
    },
  },
  {
    description: 'crash at one moment during long reads',
    serviceMs: 500,
    play: async (fleet) => {
      await fleet.crashDuringReads();
      await fleet.read(AFTER_MS);
    },
  },
  {
    description: 'crash one after the other, 160 ms apart',
    serviceMs: 500,
    play: async (fleet) => {
      await fleet.crashDuringReads(160);
      await fleet.read(AFTER_MS);
    },
  },
  {
    description: 'crash one after the other, 320 ms apart',
    serviceMs: 700,
    play: async (fleet) => {
      await fleet.crashDuringReads(320);
      await fleet.read(AFTER_MS);
    },
  },
  {
    description: 'crash at one moment, and again once they are back',
    serviceMs: 400,
    play: async (fleet) => {
      await fleet.crashDuringReads();
      await fleet.read(TWICE_MS);
      await fleet.crashDuringReads();
      await fleet.read(AFTER_MS);
    },
  },
  {
    description: 'crash at one moment, beside a read that crashes engines',
    serviceMs: 400,
    play: async (fleet) => {
      const sendCrashing = (elapsedMs: number): void => {
        if (elapsedMs % REAL_INTERVAL_MS === 0) fleet.sendCrashing(1);
      };
      await fleet.read(2 * REAL_INTERVAL_MS, sendCrashing);
      await fleet.crashDuringReads();
      await fleet.read(AFTER_MS, sendCrashing);
    },
  },
];

for (const { description, serviceMs, play } of TROUBLES) {
  // The popular read was quarantined for 30 minutes although it crashed nothing.
  test(`sound reads are served again after engines ${description}`, async (t) => {
    for (const seed of SEEDS) {
      const fleet = await CrashingFleet.create(seed, serviceMs);
      await fleet.read(BEFORE_MS);
      await play(fleet);
      await fleet.settle();
      const { sent, denied, lastServed } = fleet.results();
      t.log(`seed ${seed}: ${denied} of ${sent} denied, ${lastServed} of the last 100 served`);
      t.is(denied, 0, `seed ${seed}`);
      t.true(lastServed >= LAST_READS_SERVED, `seed ${seed}: ${lastServed}`);
      t.deepEqual(fleet.unboundedCrashes, [], `seed ${seed}`);
    }
  });
}

interface Cause {
  readonly description: string;
  readonly copies: number;
  readonly intervalMs: number;
  /** Whether no other engine, and no other router, shows that the router's own path works. */
  readonly isAlone: boolean;
  /** Engines that it may end before it is sent to no other one. */
  readonly maximumEngines: number;
}

const CAUSES: readonly Cause[] = [
  {
    description: 'one copy at a time',
    copies: 1,
    intervalMs: 240,
    isAlone: false,
    maximumEngines: 4,
  },
  {
    description: 'several copies at once',
    copies: 6,
    intervalMs: 720,
    isAlone: false,
    maximumEngines: 6,
  },
  {
    description: 'several copies at once to all engines that the only router knows',
    copies: 6,
    intervalMs: 720,
    isAlone: true,
    maximumEngines: 6,
  },
];

for (const { description, copies, intervalMs, isAlone, maximumEngines } of CAUSES) {
  // All engines of the only service fell together, and their crashes were held against no request.
  test(`a read that crashes engines is stopped if it is sent with ${description}`, async (t) => {
    for (const seed of SEEDS) {
      const fleet = await CrashingFleet.create(seed, 60);
      if (isAlone) {
        fleet.removeOtherService();
        await fleet.keepOneRouter();
      }
      await fleet.read(BEFORE_MS);
      await fleet.read(AFTER_MS, (elapsedMs) => {
        if (elapsedMs % intervalMs === 0) fleet.sendCrashing(copies);
      });
      await fleet.settle();
      const { sent, denied, lastServed } = fleet.results();
      t.log(`seed ${seed}: ${fleet.enginesEnded} engines ended, ${denied} of ${sent} denied`);
      t.deepEqual(fleet.unboundedCrashes, [], `seed ${seed}`);
      t.true(fleet.enginesEnded <= maximumEngines, `seed ${seed}: ${fleet.enginesEnded}`);
      t.is(denied, 0, `seed ${seed}`);
      t.true(lastServed >= LAST_READS_SERVED, `seed ${seed}: ${lastServed}`);
    }
  });
}
