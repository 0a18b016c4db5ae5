/** Two routers must not hold the coordinator lease at the same time after the store is restored. */
import test from 'ava';
import { LeaseKeeper } from '../../src/coordination/gateway/lease-keeper.js';
import { SimulatedObjectStore } from '../../src/lab/gateway-simulation/simulated-object-store.js';
import { SimulatedStorePort } from '../../src/lab/gateway-simulation/simulated-store-port.js';
import { HostClock } from '../../src/lab/simulation/host-clock.js';
import { NoopLogger } from '../../src/runtime/logger.js';
import { StoreEra, StorePosition } from '../../src/runtime/store-position.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { StoreEras } from '../../src/state/routing/store-eras.js';
import { LeaseStep, WeightLease } from '../../src/state/routing/weight-lease.js';
import { leaseTimeAt } from '../helpers/instants.js';

const KIND = 'leases';
const NAME = 'weights';
const LEASE_MS = 3_000;
const ACT_MS = 500;
const STEP_MS = 20;
/** Time from a holder's last write until a lease time after its last possible load command. */
const SUCCESSION_MS = LEASE_MS + ACT_MS;

/** A router that always competes for the lease, with a store shared by several routers. */
class Contender {
  readonly eras: StoreEras;
  readonly keeper: LeaseKeeper;
  readonly actedMs: number[] = [];
  readonly tokens = new Set<number>();

  constructor(
    store: SimulatedObjectStore,
    private readonly clock: VirtualClock,
    holder: string,
    isFirstStart = true,
  ) {
    this.eras = new StoreEras(isFirstStart);
    const settings = { holder, life: holder, leaseMs: LEASE_MS, actMs: ACT_MS };
    const port = new SimulatedStorePort(store, holder, new HostClock(clock));
    const lease = new WeightLease(settings, this.eras);
    this.keeper = new LeaseKeeper(KIND, lease, this.eras, port, clock, new NoopLogger());
  }

  act(): void {
    const token = this.keeper.activeToken;
    if (token === undefined) void this.keeper.advance();
    else {
      this.actedMs.push(this.clock.now());
      this.tokens.add(token);
    }
  }
}

async function contend(
  clock: VirtualClock,
  contenders: readonly Contender[],
  forMs: number,
): Promise<void> {
  for (let spentMs = 0; spentMs < forMs; spentMs += STEP_MS) {
    for (const contender of contenders) contender.act();
    await clock.advance(STEP_MS);
  }
}

test('no router acts on a lease of the previous store era, and tokens of the new era are higher', async (t) => {
  const clock = new VirtualClock();
  const store = new SimulatedObjectStore(clock);
  const holder = new Contender(store, clock, 'holder');
  await contend(clock, [holder], 2_000);
  const [formerToken] = holder.tokens;
  const restoredMs = clock.now();
  store.restore(restoredMs - 1_000);
  holder.eras.observe(store.era, clock.now());
  t.is(holder.keeper.activeToken, undefined);
  await contend(clock, [holder], 1_000 + SUCCESSION_MS);
  const later = holder.actedMs.filter((atMs) => atMs > restoredMs);
  t.true((later[0] ?? 0) - restoredMs >= SUCCESSION_MS);
  t.true(Math.max(...holder.tokens) > 2 * (formerToken ?? 0) - 2);
  t.is(holder.tokens.size, 2);
});

test('a router that finds no lease after a restoration waits for a possible unknown holder', async (t) => {
  for (const isFirstStart of [true, false]) {
    const clock = new VirtualClock();
    const store = new SimulatedObjectStore(clock);
    await clock.advance(100);
    const copiedMs = clock.now();
    await clock.advance(100);
    const holder = new Contender(store, clock, 'holder');
    await contend(clock, [holder], 1_000);
    store.restore(copiedMs);
    const lastMs = holder.actedMs.at(-1) ?? 0;
    const successor = new Contender(store, clock, 'successor', isFirstStart);
    // The holder's machine is stopped from here on.
    await contend(clock, [successor], 6_000);
    const firstMs = successor.actedMs[0] ?? 0;
    // Only at the first start of a deployment can there have been no holder.
    t.is(firstMs - lastMs >= LEASE_MS, !isFirstStart);
    t.true(firstMs > 0);
  }
});

test('a write to a reused revision does not allow a router to act beside another holder', async (t) => {
  const clock = new VirtualClock();
  const store = new SimulatedObjectStore(clock);
  const first = new Contender(store, clock, 'first');
  await contend(clock, [first], 1_000);
  const { revision } = store.get(KIND, NAME) ?? { revision: 0 };
  store.restore(clock.now());
  // Another router acquires the lease in the new era, at the revision known to the first router.
  store.remove(KIND, NAME);
  while (store.revision < revision + 1) store.put('others', 'any', store.revision);
  const second = { holder: 'second', life: 'second', fencingToken: 2 ** 21 + 1 };
  store.put(KIND, NAME, second);
  const held = store.get(KIND, NAME)?.revision ?? 0;
  const lease = new WeightLease(
    { holder: 'first', life: 'first', leaseMs: LEASE_MS, actMs: ACT_MS },
    first.eras,
  );
  const record = { holder: 'first', life: 'first', fencingToken: 2 ** 20 + 1 };
  lease.recordWrite({ record, position: new StorePosition(1, held) }, leaseTimeAt(0));
  const port = new SimulatedStorePort(store, 'first', new HostClock(clock));
  const keeper = new LeaseKeeper(KIND, lease, first.eras, port, clock, new NoopLogger());
  const advancing = keeper.advance();
  await clock.advance(STEP_MS);
  await advancing;
  t.deepEqual((store.get(KIND, NAME)?.spec as { holder: string }).holder, 'first');
  t.is(keeper.activeToken, undefined);
  t.is(lease.next(leaseTimeAt(clock.now())), LeaseStep.Read);
});

test('a lease announced by a router without store eras neither shortens nor blocks the wait of another router', (t) => {
  const lease = new WeightLease(
    { holder: 'own', life: 'own', leaseMs: LEASE_MS, actMs: ACT_MS },
    new StoreEras(true),
  );
  const record = { holder: 'other', life: 'other', fencingToken: 2 ** 20 + 5 };
  lease.recordReportedWrite(new StorePosition(StoreEra.Unknown, 9), 1_000);
  lease.observe({ record, position: new StorePosition(1, 9) }, 1, 5_000);
  t.is(lease.next(leaseTimeAt(5_100)), LeaseStep.Wait);
  lease.recordReportedWrite(new StorePosition(StoreEra.Unknown, 12), 5_200);
  t.is(lease.next(leaseTimeAt(5_300)), LeaseStep.Wait);
});
