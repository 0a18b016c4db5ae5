/** Log lines wait in bounds for a slow reader. */
import test from 'ava';
import {
  BoundedLineWriter,
  type ScheduleWrite,
  type WriteBytes,
} from '../src/telemetry/bounded-line-writer.js';

type Done = Parameters<WriteBytes>[2];
/** Each line is due at once. */
const AT_ONCE: ScheduleWrite = (onDue) => onDue();
const UNBOUNDED = 1_000_000;

test('lines go out in order, those that came meanwhile together', (t) => {
  const written: string[] = [];
  const pending: Done[] = [];
  const write: WriteBytes = (_descriptor, bytes, onDone) => {
    written.push(bytes.toString());
    pending.push((error) => onDone(error, bytes.length));
  };
  const writer = new BoundedLineWriter(1, write, UNBOUNDED, AT_ONCE);
  writer.writeLine('a');
  writer.writeLine('b');
  writer.writeLine('c');
  t.deepEqual(written, ['a\n']);
  pending.shift()?.(null, 0);
  t.deepEqual(written, ['a\n', 'b\nc\n']);
});

test('a partial write goes on where it stopped', (t) => {
  const written: string[] = [];
  const write: WriteBytes = (_descriptor, bytes, onDone) => {
    written.push(bytes.subarray(0, 2).toString());
    onDone(null, Math.min(2, bytes.length));
  };
  const writer = new BoundedLineWriter(1, write, UNBOUNDED, AT_ONCE);
  writer.writeLine('abc');
  t.is(written.join(''), 'abc\n');
});

test('lines beyond the bound are dropped and counted in the log', (t) => {
  const written: string[] = [];
  const pending: (() => void)[] = [];
  const write: WriteBytes = (_descriptor, bytes, onDone) => {
    written.push(bytes.toString());
    pending.push(() => onDone(null, bytes.length));
  };
  const writer = new BoundedLineWriter(1, write, 10, AT_ONCE);
  writer.writeLine('first');
  writer.writeLine('second');
  writer.writeLine('third');
  writer.writeLine('fourth');
  t.is(writer.droppedLines, 2);
  pending.shift()?.();
  t.is(written[1], 'second\nevent=log_lines_dropped count=2\n');
});

test('lines that come soon after each other go out in one write', (t) => {
  const written: string[] = [];
  const due: (() => void)[] = [];
  const write: WriteBytes = (_descriptor, bytes, onDone) => {
    written.push(bytes.toString());
    onDone(null, bytes.length);
  };
  const writer = new BoundedLineWriter(1, write, UNBOUNDED, (onDue) => due.push(onDue));
  writer.writeLine('a');
  writer.writeLine('b');
  t.deepEqual(written, []);
  t.is(due.length, 1);
  due.shift()?.();
  t.deepEqual(written, ['a\nb\n']);
  writer.writeLine('c');
  due.shift()?.();
  t.deepEqual(written, ['a\nb\n', 'c\n']);
});
