/**
 * Sends requests without generation from many routers to a few back ends that reject requests
 * beyond their slots, with the real placement and with load reports of a fixed period.
 */
import { createHasher } from '../../src/runtime/hasher.js';
import { SeededRandom } from '../../src/runtime/random.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { SendLoad } from '../../src/coordination/gateway/send-load.js';
import { CachedPrefixes } from '../../src/state/routing/cached-prefixes.js';
import { EngineHealth } from '../../src/state/routing/engine-health.js';
import { EngineRegistry } from '../../src/state/routing/engine-registry.js';
import { DEFAULT_ENGINE_SPEEDS } from '../../src/state/routing/engine-speeds.js';
import { HomeRanking } from '../../src/state/routing/home-ranking.js';
import { LoadTable } from '../../src/state/routing/load-table.js';
import { type PlacementTables, placeRequest } from '../../src/state/routing/placement.js';
import { StorePressure } from '../../src/state/routing/save-choice.js';
import { StoreOutages } from '../../src/state/routing/store-outages.js';
import { WeightVersions } from '../../src/state/routing/weight-versions.js';
import { engineRecord } from './engine-record.js';

/** Load on a service of three back ends with six slots each. */
export interface PlainLoad {
  readonly routers: number;
  readonly perSecond: number;
  /** As `PlacementRequest.spreadsPlainRequests`. */
  readonly spreads: boolean;
  readonly seed: number;
}

const SERVICE = 'plain';
const BACK_ENDS = 3;
const SLOTS = 6;
const WORK_MS = 42.9;
const REPORT_PERIOD_MS = 100;
const NETWORK_DELAY_MS = 2;
const TRAFFIC_MS = 20_000;

/** What became of the requests. */
export interface PlainOutcome {
  readonly rejectedShare: number;
  /** Requests sent to a back end that the router knew to be full while another one was not. */
  readonly sentToFull: number;
  /** Requests by back end. */
  readonly received: readonly number[];
}

/** Runs the load for some seconds. */
export async function runPlainLoad(load: PlainLoad): Promise<PlainOutcome> {
  const clock = new VirtualClock();
  const random = new SeededRandom(load.seed);
  const registry = new EngineRegistry();
  for (let index = 0; index < BACK_ENDS; index += 1) {
    const changes = { service: SERVICE, zone: `zone-${index}`, slots: SLOTS };
    registry.put(engineRecord(`back-end-${index}`, undefined, changes));
  }
  const homes = new HomeRanking(await createHasher());
  const routers = Array.from({ length: load.routers }, (_, index) =>
    createTables(homes, load.seed * 1_000 + index),
  );
  const running = new Map<string, number>();
  const received = new Map<string, number>();
  let sent = 0;
  let rejected = 0;
  let sentToFull = 0;

  const sendFrom = (index: number): void => {
    const tables = routers[index] as PlacementTables;
    const placed = placeRequest(
      {
        candidates: registry.ofService(SERVICE),
        profile: undefined,
        generation: undefined,
        cacheNamespace: '',
        excluded: new Set(),
        zone: `zone-${index % BACK_ENDS}`,
        spreadsPlainRequests: load.spreads,
        stores: [],
        storePressure: StorePressure.Low,
        connectionShare: BACK_ENDS * SLOTS,
        slotView: { wallMs: 0, interval: undefined },
      },
      tables,
      clock.now(),
    );
    sent += 1;
    if (typeof placed === 'string') throw new Error(placed);
    const { id } = placed.engine.record;
    const hasFreeSlot = (each: string): boolean => tables.loads.at(each).requests < SLOTS;
    if (!hasFreeSlot(id) && [...registry.ids].some(hasFreeSlot)) sentToFull += 1;
    const sendLoad = new SendLoad(tables.loads, id, 0, undefined);
    clock.setTimer(NETWORK_DELAY_MS, () => {
      received.set(id, (received.get(id) ?? 0) + 1);
      const before = running.get(id) ?? 0;
      if (before >= SLOTS) {
        rejected += 1;
        sendLoad.release();
        return;
      }
      running.set(id, before + 1);
      clock.setTimer(WORK_MS, () => {
        running.set(id, (running.get(id) ?? 0) - 1);
        sendLoad.release();
      });
    });
  };

  const sendNext = (): void => {
    const pauseMs = (-Math.log(1 - random.next()) * 1_000) / load.perSecond;
    if (clock.now() + pauseMs > TRAFFIC_MS) return;
    clock.setTimer(pauseMs, () => {
      sendFrom(Math.floor(random.next() * routers.length));
      sendNext();
    });
  };

  let sequence = 0;
  const reportAll = (): void => {
    sequence += 1;
    const reports = routers.map(({ loads }) => new Map(loads.ownLoads));
    clock.setTimer(NETWORK_DELAY_MS, () => {
      routers.forEach(({ loads }, receiver) => {
        reports.forEach((report, sender) => {
          if (sender !== receiver) loads.receive(`${sender}`, sequence, report, clock.now());
        });
      });
    });
    if (clock.now() < TRAFFIC_MS) clock.setTimer(REPORT_PERIOD_MS, reportAll);
  };

  sendNext();
  reportAll();
  const DRAIN_MS = 1_000;
  await clock.advance(TRAFFIC_MS + DRAIN_MS);
  const ids = [...registry.ids].sort();
  return {
    rejectedShare: rejected / sent,
    sentToFull,
    received: ids.map((id) => received.get(id) ?? 0),
  };
}

function createTables(homes: HomeRanking, seed: number): PlacementTables {
  return {
    loads: new LoadTable(),
    health: new EngineHealth(),
    cachedPrefixes: new CachedPrefixes(),
    versions: new WeightVersions(7_000, new StoreOutages()),
    random: new SeededRandom(seed),
    homes,
    speeds: DEFAULT_ENGINE_SPEEDS,
  };
}
