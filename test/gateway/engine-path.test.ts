/** Guards against taking engines that are down for an interrupted path, and the other way round. */
import test from 'ava';
import {
  EnginePath,
  EnginePathState,
  type EngineProbe,
  ProbePurpose,
  ProbeResult,
} from '../../src/state/routing/engine-path.js';
import { choosePathProbes } from '../../src/state/routing/path-probe-choice.js';
import { incarnationOf } from '../../src/state/routing/engine-incarnation.js';
import { engineRecord } from '../helpers/engine-record.js';

const ENGINES = ['a', 'b', 'c', 'd'];

/** The same result from each engine. */
function probesOf(result: ProbeResult, engines = ENGINES): EngineProbe[] {
  return engines.map((engineId) => ({ engineId, result }));
}

/** Purpose of probes that follow a suspicion, or its confirmation. */
function purposeOf({ isOpen }: EnginePath): ProbePurpose {
  return isOpen ? ProbePurpose.Suspicion : ProbePurpose.Recovery;
}

/** A path on which connections to three engines have just failed. */
function suspectedPath(nowMs: number): EnginePath {
  const path = new EnginePath();
  for (const engineId of ['a', 'b', 'c']) path.noteConnectFailure(engineId, nowMs);
  return path;
}

test('failures at one engine cause no probes', (t) => {
  const path = new EnginePath();
  path.noteConnectFailure('a', 0);
  path.noteConnectFailure('a', 5);
  t.is(path.dueProbe(0), undefined);
  path.noteConnectFailure('b', 10);
  t.is(path.dueProbe(10), ProbePurpose.Suspicion);
});

test('a service none of whose engines can be connected to causes probes, however few they are', (t) => {
  const path = new EnginePath();
  path.noteConnectFailure('a', 0);
  t.is(path.dueProbe(0, [['a', 'b'], ['c']]), undefined);
  t.is(path.dueProbe(0, [['a'], ['b', 'c']]), ProbePurpose.Suspicion);
});

test('a new connection ends the suspicion that failed ones raised', (t) => {
  const path = suspectedPath(0);
  path.noteConnected(0);
  t.is(path.dueProbe(1), undefined);
});

test('failed connections expire', (t) => {
  t.is(suspectedPath(0).suspicion(2_500), undefined);
});

test('one engine that can be connected to keeps the path open', (t) => {
  const path = suspectedPath(0);
  const probes = [
    ...probesOf(ProbeResult.TimedOut),
    { engineId: 'e', result: ProbeResult.Connected },
  ];
  t.false(path.applyProbes(purposeOf(path), probes, 350));
  t.is(path.state, EnginePathState.Open);
});

test('silence of all engines while requests are in progress causes probes', (t) => {
  const path = new EnginePath();
  const first = path.open('a', 0);
  path.open('b', 100);
  path.noteReceived('a', 500);
  t.is(path.dueProbe(1_100), undefined);
  t.is(path.dueProbe(1_200), ProbePurpose.Suspicion);
  path.close(first);
  path.noteReceived('b', 1_250);
  t.is(path.dueProbe(1_300), undefined);
});

test('refused probes leave open connections in use until these are silent', (t) => {
  const path = suspectedPath(0);
  path.open('d', 0);
  path.noteReceived('d', 90);
  t.true(path.applyProbes(purposeOf(path), probesOf(ProbeResult.Refused), 100));
  t.is(path.state, EnginePathState.Refusing);
  t.true(path.applyProbes(purposeOf(path), probesOf(ProbeResult.Refused), 800));
  t.is(path.state, EnginePathState.Silent);
});

test('timed-out probes without anything received mean that open connections are silent', (t) => {
  const path = suspectedPath(0);
  path.open('d', 0);
  t.true(path.applyProbes(purposeOf(path), probesOf(ProbeResult.TimedOut), 400));
  t.is(path.state, EnginePathState.Silent);
});

test('timed-out probes while an engine still responds leave open connections in use', (t) => {
  const path = suspectedPath(0);
  path.open('d', 0);
  path.noteReceived('d', 390);
  t.true(path.applyProbes(purposeOf(path), probesOf(ProbeResult.TimedOut), 400));
  t.is(path.state, EnginePathState.Refusing);
});

test('the only engine of a deployment does not show whether the path is interrupted', (t) => {
  const path = suspectedPath(0);
  t.false(path.applyProbes(purposeOf(path), probesOf(ProbeResult.Refused, ['a']), 10));
});

test('the path reopens after two rounds with a connection, although other engines are down', (t) => {
  const path = suspectedPath(0);
  path.applyProbes(purposeOf(path), probesOf(ProbeResult.TimedOut), 400);
  const round = [
    ...probesOf(ProbeResult.TimedOut, ['a', 'b']),
    ...probesOf(ProbeResult.Connected, ['c']),
  ];
  t.false(path.applyProbes(purposeOf(path), round, 1_000));
  t.false(path.applyProbes(purposeOf(path), probesOf(ProbeResult.TimedOut), 1_300));
  t.false(path.applyProbes(purposeOf(path), round, 1_600));
  t.true(path.applyProbes(purposeOf(path), round, 1_900));
  t.is(path.state, EnginePathState.Open);
});

test('a router without traffic checks its path, and suspects it after a failed check', (t) => {
  const path = new EnginePath();
  t.is(path.dueProbe(60_000), undefined);
  path.noteConnected(1_000);
  t.is(path.dueProbe(2_000), undefined);
  t.is(path.dueProbe(2_500), ProbePurpose.IdleCheck);
  path.applyProbes(ProbePurpose.IdleCheck, probesOf(ProbeResult.Connected, ['a', 'b']), 2_510);
  t.is(path.dueProbe(2_600), undefined);
  path.applyProbes(ProbePurpose.IdleCheck, probesOf(ProbeResult.TimedOut, ['a', 'b']), 4_400);
  t.is(path.state, EnginePathState.Open);
  t.is(path.dueProbe(4_500), ProbePurpose.Suspicion);
});

test('a path that is interrupted again soon reopens later', (t) => {
  const path = suspectedPath(0);
  const interrupt = (nowMs: number): void => {
    path.applyProbes(purposeOf(path), probesOf(ProbeResult.Refused), nowMs);
  };
  const roundsToReopen = (fromMs: number): number => {
    let rounds = 0;
    while (path.state !== EnginePathState.Open) {
      rounds += 1;
      path.applyProbes(purposeOf(path), probesOf(ProbeResult.Connected), fromMs + rounds * 250);
    }
    return rounds;
  };
  interrupt(0);
  t.is(roundsToReopen(0), 2);
  interrupt(2_000);
  t.is(roundsToReopen(2_000), 4);
  interrupt(40_000);
  t.is(roundsToReopen(40_000), 2);
});

test('engines that responded last are probed first, the others from all services in turn', (t) => {
  const engines = ['a', 'b', 'c', 'd', 'e', 'f'].map((name) =>
    engineRecord(name, undefined, { service: name < 'e' ? 'first' : 'second' }),
  );
  const responded = incarnationOf('c', undefined);
  const chosen = choosePathProbes(engines, [responded, 'gone'], 4, 1);
  t.is(chosen[0]?.id, responded);
  t.is(chosen.length, 4);
  t.is(new Set(chosen).size, 4);
  t.true(chosen.some(({ service }) => service === 'second'));
});
