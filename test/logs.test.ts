/** Parsing of log lines, and the output of `peatspan logs explain` and `peatspan logs summary`. */
import test from 'ava';
import { parseLogLine } from '../src/operator/log-line.js';
import { LogSummary } from '../src/operator/log-summary.js';
import { RequestTimeline } from '../src/operator/request-timeline.js';
import { ConsoleLogger } from '../src/telemetry/console-logger.js';

const BASE = '2026-06-21T12:40:0';

/** Lines as routers write them, `SECONDS NODE PAIRS`. */
const LINES = [
  '1.000Z a configuration_in_force version=4 revision=2',
  '2.000Z b configuration_in_force version=3 revision=1',
  '2.500Z a engine_changed engine=e1 draining=true',
  '2.600Z a engine_changed engine=e2 draining=true',
  '3.000Z a request_sent request=r1 send=1 engine=e1',
  '3.200Z a send_failed request=r1 engine=e1 kind=refused reason=engine-refused-503',
  '3.300Z a request_finished request=r1 outcome=all-busy own_status=503 sends=1 took_ms=300',
  '3.400Z a configuration_in_force version=5 revision=3',
  '4.400Z b request_finished request=r2 outcome=answered answer_status=200 sends=1 took_ms=40',
].map((text) => {
  const [seconds = '', node = '', event = '', ...pairs] = text.split(' ');
  const line = `time=${BASE}${seconds} level=info event=${event} node=${node} ${pairs.join(' ')}`;
  const parsed = parseLogLine(`   3.1 collector-prefix ${line}`);
  if (!parsed) throw new Error(`no event in ${text}`);
  return parsed;
});

test('the parser reads back lines of the logger, including quoted values', (t) => {
  const written: string[] = [];
  const logger = new ConsoleLogger('info', 'node-1', (line) => written.push(line));
  logger.info('send_failed', { reason: 'socket "hang up" = bad', took_ms: 12, empty: '' });
  const line = parseLogLine(`12.5 node-1 ${written[0] ?? ''}`);
  t.is(line?.event, 'send_failed');
  t.is(line?.node, 'node-1');
  t.is(typeof line?.timeMs, 'number');
  t.is(line?.fields.get('reason'), 'socket "hang up" = bad');
  t.is(line?.fields.get('took_ms'), '12');
  t.is(line?.fields.get('empty'), '');
  t.is(parseLogLine('a line of something else'), undefined);
});

test('a timeline contains the events of the request and the last state changes before it, with their age', (t) => {
  const timeline = new RequestTimeline('r1');
  for (const line of [...LINES].reverse()) timeline.add(line);
  t.deepEqual(
    timeline.format().map((line) => line.trim()),
    [
      '-2000 ms state    a configuration_in_force version=4 revision=2',
      '-500 ms state    a engine_changed engine=e1 draining=true',
      '+0 ms request  a request_sent send=1 engine=e1',
      '+200 ms request  a send_failed engine=e1 kind=refused reason=engine-refused-503',
      '+300 ms request  a request_finished outcome=all-busy own_status=503 sends=1 took_ms=300',
    ],
  );
  t.deepEqual(new RequestTimeline('unknown').format(), []);
});

test('the timeline of a request over its quota shows the denial and the quota watch that preceded it', (t) => {
  const timeline = new RequestTimeline('r9');
  const node = 'info event=quota_watched node=keeper tenant';
  const lines = [
    `${node}=t-1 watch_ms=4000`,
    `${node}=t-2 watch_ms=4000`,
    'info event=quota_denied node=a request=r9 tenant=t-1 charge=910 account_level=12 isolated=false',
  ];
  for (const [index, text] of lines.entries()) {
    const line = parseLogLine(`time=${BASE}${index}.000Z level=${text}`);
    if (line) timeline.add(line);
  }
  t.deepEqual(
    timeline.format().map((line) => line.trim()),
    [
      '-2000 ms state    keeper quota_watched tenant=t-1 watch_ms=4000',
      '+0 ms request  a quota_denied tenant=t-1 charge=910 account_level=12 isolated=false',
    ],
  );
});

test('the timeline of a request that waited shows the cause, the estimate and the wait', (t) => {
  const timeline = new RequestTimeline('r7');
  for (const text of [
    'info event=request_queued node=a request=r7 position=2 expected_ms=80 cause=engines-full',
    'info event=request_dequeued node=a request=r7 position=0 waited_ms=70 reason=capacity',
    'info event=request_queue_rejected node=a request=r8 position=9 reason=queue-too-long',
  ]) {
    const line = parseLogLine(`time=${BASE}1.000Z level=${text}`);
    if (line) timeline.add(line);
  }
  t.deepEqual(
    timeline.format().map((line) => line.trim()),
    [
      '+0 ms request  a request_queued position=2 expected_ms=80 cause=engines-full',
      '+0 ms request  a request_dequeued position=0 waited_ms=70 reason=capacity',
    ],
  );
});

test('a summary counts outcomes by cause and shows the time to a rejection', (t) => {
  const summary = new LogSummary();
  for (const line of LINES) summary.add(line);
  const text = summary.format(true).join('\n');
  t.regex(text, /Requests by outcome: 2\n +1 {2}all-busy \(503\)\n +1 {2}answered \(200\)/);
  t.regex(text, /after engine-refused-503, 1 sends: all-busy \(503\)/);
  t.regex(text, /1 {2}all-busy: p50 300, p99 300, max 300/);
  t.regex(text, /Failures in second 2: 1/);
});
