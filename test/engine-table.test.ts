import test from 'ava';
import { type EngineReport, EngineTable } from '../src/state/engine-table.js';

const report: EngineReport = {
  engineId: 'engine-1',
  incarnation: 7,
  model: 'model',
  weightsDigest: 'weights',
  adapterDigest: '',
  leaving: false,
  observedAtMs: 1_000,
  load: { waitingTokens: 0, requests: 0, maximumRequests: 8, prefillTokensPerSecond: 1_000 },
};
const machine = { engineId: 'engine-1', address: '', zone: 'z', site: 's', leaving: false };

// Guards against routers without a machine list announcing the same report to each other forever.
test('a report received before the machine list is accepted only once', (t) => {
  const table = new EngineTable();
  t.true(table.putReport(report));
  t.false(table.putReport(report));
  table.replaceMachines([machine]);
  t.false(table.putReport(report));
  t.is(table.get('engine-1')?.report, report);
});

test('a delayed report or one of a previous incarnation is ignored', (t) => {
  const table = new EngineTable();
  table.replaceMachines([machine]);
  table.putReport(report);
  t.false(table.putReport({ ...report, incarnation: 6, observedAtMs: 9_000 }));
  t.false(table.putReport({ ...report, observedAtMs: 999, leaving: true }));
  t.true(table.putReport({ ...report, incarnation: 8, observedAtMs: 0 }));
  t.is(table.get('engine-1')?.report?.incarnation, 8);
});
