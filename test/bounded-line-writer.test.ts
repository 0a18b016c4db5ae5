/** Guards against unbounded memory, lost order and silent loss of log lines with a slow reader. */
import test from 'ava';
import {
  BoundedLineWriter,
  type ScheduleWrite,
  type WriteBytes,
} from '../src/telemetry/bounded-line-writer.js';

type Done = Parameters<WriteBytes>[2];
/** Writes each line without batching. */
const WRITE_IMMEDIATELY: ScheduleWrite = (onDue) => onDue();
const UNBOUNDED = 1_000_000;

test('lines are written in order, and lines added during a write are written together', (t) => {
  const written: string[] = [];
  const pending: Done[] = [];
  const write: WriteBytes = (_descriptor, bytes, onDone) => {
    written.push(bytes.toString());
    pending.push((error) => onDone(error, bytes.length));
  };
  const writer = new BoundedLineWriter(1, write, UNBOUNDED, WRITE_IMMEDIATELY);
  writer.writeLine('a');
  writer.writeLine('b');
  writer.writeLine('c');
  t.deepEqual(written, ['a\n']);
  pending.shift()?.(null, 0);
  t.deepEqual(written, ['a\n', 'b\nc\n']);
});

test('a partial write continues where it stopped', (t) => {
  const written: string[] = [];
  const write: WriteBytes = (_descriptor, bytes, onDone) => {
    written.push(bytes.subarray(0, 2).toString());
    onDone(null, Math.min(2, bytes.length));
  };
  const writer = new BoundedLineWriter(1, write, UNBOUNDED, WRITE_IMMEDIATELY);
  writer.writeLine('abc');
  t.is(written.join(''), 'abc\n');
});

test('lines beyond the buffer limit are dropped and counted in the log', (t) => {
  const written: string[] = [];
  const pending: (() => void)[] = [];
  const write: WriteBytes = (_descriptor, bytes, onDone) => {
    written.push(bytes.toString());
    pending.push(() => onDone(null, bytes.length));
  };
  const writer = new BoundedLineWriter(1, write, 10, WRITE_IMMEDIATELY);
  writer.writeLine('first');
  writer.writeLine('second');
  writer.writeLine('third');
  writer.writeLine('fourth');
  t.is(writer.droppedLines, 2);
  pending.shift()?.();
  t.is(written[1], 'second\nevent=log_lines_dropped count=2\n');
});

test('lines within a batch interval are written together', (t) => {
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
