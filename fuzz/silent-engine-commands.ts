/** Fuzz commands on sound engines that are silent for a second or so while other things happen. */
import fc from 'fast-check';
import type { GatewaySimulation } from '../src/lab/gateway-simulation/gateway-simulation.js';
import { EngineMode } from '../src/lab/gateway-simulation/simulated-engine.js';
import {
  GENERATION_SERVICE,
  PLAIN_SERVICE,
  REQUEST_KINDS,
} from '../src/lab/gateway-simulation/simulation-fixtures.js';
import { sendAllKinds } from '../src/lab/gateway-simulation/simulation-traffic.js';
import { type GatewayCommand, command } from './gateway-command.js';
import { type CommandSource, GATEWAY_COMMANDS, engine } from './gateway-commands.js';
import { limitOfStreams } from './quota-commands.js';

const TRAFFIC_GAP_MS = 15;
const TENANT = 'tenant-2';
const service = fc.constantFrom(GENERATION_SERVICE, PLAIN_SERVICE);
const requestKind = fc.constantFrom(...REQUEST_KINDS);
/** The durations of a silence that is no disruption. */
const silentMs = fc.constantFrom(300, 700, 1_200, 1_600, 2_000);
const routeTimeoutMs = fc.constantFrom(600, 1_700, 2_500, 4_000);

/** Makes one engine or several silent at once. */
const silenceEngines = fc
  .tuple(engine, fc.integer({ min: 1, max: 5 }), silentMs)
  .map(([first, count, forMs]) =>
    command(`silenceEngines(${first}, ${count}, ${forMs})`, (simulation) => {
      for (let index = first; index < first + count; index += 1)
        simulation.engine(index).silence(simulation.now + forMs);
    }),
  );

/** Makes engines silent one after the other, so that a request moves from one to the next. */
const silenceByTurns = fc
  .tuple(engine, fc.integer({ min: 2, max: 6 }), silentMs, fc.constantFrom(200, 900, 1_500))
  .map(([first, count, forMs, gapMs]) =>
    command(`silenceByTurns(${first}, ${count}, ${forMs} each ${gapMs} ms)`, async (simulation) => {
      for (let index = first; index < first + count; index += 1) {
        simulation.engine(index).silence(simulation.now + forMs);
        await sendAllKinds(simulation, gapMs, TRAFFIC_GAP_MS);
      }
    }),
  );

/** Something planned, or an engine that takes no more requests. */
interface PlannedEvent {
  readonly name: string;
  readonly start: (simulation: GatewaySimulation) => void;
  readonly end?: (simulation: GatewaySimulation) => void;
}

const plannedEvent = fc.oneof(
  fc.nat(2).map((router) => plannedStop(router)),
  fc.nat(1).map((keyIndex) => keyRemoval(keyIndex)),
  fc.constantFrom(4, 12).map((perSecond) => limitChange(perSecond)),
  fc.constant<PlannedEvent>({
    name: 'publishWeights',
    start: (simulation) => simulation.publishWeights(),
  }),
  fc.tuple(requestKind, routeTimeoutMs).map(([kind, timeoutMs]) => routeChange(kind, timeoutMs)),
  requestKind.map((kind) => routeChange(kind, undefined)),
  fc
    .tuple(engine, fc.integer({ min: 1, max: 5 }))
    .map(([first, count]) => rejections(first, count)),
  engine.map<PlannedEvent>((index) => ({
    name: `drainEngine(${index})`,
    start: (simulation) => simulation.fleet.drain(index),
  })),
);

/** Responses begin, then all engines of a service are silent, and meanwhile something happens. */
const silenceBegunResponses = fc
  .tuple(service, fc.constantFrom(0, 3, 12), silentMs, fc.constantFrom(0, 100, 1_000), plannedEvent)
  .map(([name, afterMs, forMs, eventMs, event]) =>
    command(
      `silenceBegunResponses(${name}, ${afterMs}, ${forMs}, ${eventMs}, ${event.name})`,
      async (simulation) => {
        const BEFORE_MS = 90;
        const AFTER_MS = 1_500;
        await sendAllKinds(simulation, BEFORE_MS, TRAFFIC_GAP_MS);
        await simulation.clock.advance(afterMs);
        simulation.fleet.silence(name, forMs);
        await sendAllKinds(simulation, eventMs, TRAFFIC_GAP_MS);
        event.start(simulation);
        await sendAllKinds(simulation, AFTER_MS, TRAFFIC_GAP_MS);
        event.end?.(simulation);
      },
    ),
  );

const changeRoute = fc
  .tuple(requestKind, fc.option(routeTimeoutMs, { nil: undefined }))
  .map(([kind, timeoutMs]) =>
    command(`changeRoute(${kind}, ${timeoutMs})`, (simulation) =>
      simulation.configuration.changeRoute(kind, timeoutMs),
    ),
  );

const sendTraffic = fc
  .constantFrom(1_000, 3_000)
  .map((forMs) =>
    command(`sendTraffic(${forMs})`, (simulation) =>
      sendAllKinds(simulation, forMs, TRAFFIC_GAP_MS),
    ),
  );

function plannedStop(router: number): PlannedEvent {
  const GRACE_MS = 7_500;
  return {
    name: `stopRouter(${router})`,
    start: (simulation) => simulation.stopRouter(router, GRACE_MS),
  };
}

function keyRemoval(keyIndex: number): PlannedEvent {
  const toggle = (simulation: GatewaySimulation): void => simulation.toggleKey(TENANT, keyIndex);
  return { name: `toggleKey(${keyIndex})`, start: toggle, end: toggle };
}

function limitChange(perSecond: number): PlannedEvent {
  return {
    name: `limitTenant(${perSecond})`,
    start: (simulation) => simulation.limitTenant(TENANT, limitOfStreams(perSecond)),
    end: (simulation) => simulation.limitTenant(TENANT, undefined),
  };
}

function routeChange(
  kind: (typeof REQUEST_KINDS)[number],
  timeoutMs: number | undefined,
): PlannedEvent {
  const RESTORED_TIMEOUT_MS = 4_000;
  return {
    name: `changeRoute(${kind}, ${timeoutMs})`,
    start: ({ configuration }) => configuration.changeRoute(kind, timeoutMs),
    end: ({ configuration }) => configuration.changeRoute(kind, RESTORED_TIMEOUT_MS),
  };
}

/** Some engines, or all of a service, reject further requests. */
function rejections(first: number, count: number): PlannedEvent {
  const setMode = (simulation: GatewaySimulation, mode: EngineMode): void => {
    for (let index = first; index < first + count; index += 1) simulation.engine(index).mode = mode;
  };
  return {
    name: `reject(${first}, ${count})`,
    start: (simulation) => setMode(simulation, EngineMode.Busy),
    end: (simulation) => setMode(simulation, EngineMode.Healthy),
  };
}

/** Commands of this file, each as often as it is drawn. */
const SILENT_ENGINE_COMMANDS: readonly fc.Arbitrary<GatewayCommand>[] = [
  silenceEngines,
  silenceEngines,
  silenceByTurns,
  silenceByTurns,
  silenceBegunResponses,
  silenceBegunResponses,
  silenceBegunResponses,
  silenceBegunResponses,
  changeRoute,
  sendTraffic,
  sendTraffic,
];

/** Generates sequences that combine silent engines with every other fault. */
export const silentEngineCommands: CommandSource = (maximum) =>
  fc.commands([...GATEWAY_COMMANDS, ...SILENT_ENGINE_COMMANDS], { maxCommands: maximum });
