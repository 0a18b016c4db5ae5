/** Log lines wait in bounds for a slow reader. */
import test from 'ava';
import { BoundedLineWriter, type WriteBytes } from '../src/telemetry/bounded-line-writer.js';

type Done = Parameters<WriteBytes>[2];

test('lines go out in order, those that came meanwhile together', (t) => {
  const written: string[] = [];
  const pending: Done[] = [];
  const writer = new BoundedLineWriter(1, (_descriptor, bytes, onDone) => {
    written.push(bytes.toString());
    pending.push((error) => onDone(error, bytes.length));
  });
  writer.writeLine('a');
  writer.writeLine('b');
  writer.writeLine('c');
  t.deepEqual(written, ['a\n']);
  pending.shift()?.(null, 0);
  t.deepEqual(written, ['a\n', 'b\nc\n']);
});

test('a partial write goes on where it stopped', (t) => {
  const written: string[] = [];
  const writer = new BoundedLineWriter(1, (_descriptor, bytes, onDone) => {
    written.push(bytes.subarray(0, 2).toString());
    onDone(null, Math.min(2, bytes.length));
  });
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
  const writer = new BoundedLineWriter(1, write, 10);
  writer.writeLine('first');
  writer.writeLine('second');
  writer.writeLine('third');
  writer.writeLine('fourth');
  t.is(writer.droppedLines, 2);
  pending.shift()?.();
  t.is(written[1], 'second\nevent=log_lines_dropped count=2\n');
});
