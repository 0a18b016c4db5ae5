/** Guards what is kept of pieces of any size, and what is counted for it. */
import test from 'ava';
import fc from 'fast-check';
import { ByteBlocks } from '../src/runtime/byte-blocks.js';

const SEED = 88;
const LARGEST_BLOCK_BYTES = 65_536;

test('pieces of one byte take no more memory than twice their contents and a block', (t) => {
  const blocks = new ByteBlocks();
  let memory = 0;
  for (let index = 0; index < 300_000; index += 1) {
    const piece = Buffer.from([index % 251]);
    memory += blocks.growthFor(piece);
    blocks.append(piece);
  }
  t.true(memory <= 300_000 + LARGEST_BLOCK_BYTES, `${memory} bytes`);
  t.true(blocks.take().length < 20);
});

test('a large piece is kept as it arrived, unless it keeps much more memory than it holds', (t) => {
  const whole = Buffer.alloc(8_000, 'x');
  const blocks = new ByteBlocks();
  blocks.append(whole);
  t.is(blocks.take()[0], whole);
  const part = Buffer.alloc(60_000, 'x').subarray(0, 5_000);
  const copied = new ByteBlocks();
  t.true(copied.growthFor(part) >= part.length);
  copied.append(part);
  t.not(copied.take()[0]?.buffer, part.buffer);
});

test('the blocks join to what was appended, and their memory is counted', (t) => {
  const sizes = fc.array(fc.oneof(fc.nat(10), fc.nat(3_000), fc.nat(70_000)), { maxLength: 60 });
  const isKept = (lengths: number[]): void => {
    const blocks = new ByteBlocks();
    let counted = 0;
    const pieces = lengths.map((length, index) => Buffer.alloc(length, index + 1));
    for (const piece of pieces) {
      counted += blocks.growthFor(piece);
      blocks.append(piece);
    }
    const taken = blocks.take();
    t.true(Buffer.concat(taken).equals(Buffer.concat(pieces)));
    const held = new Set(taken.map(({ buffer }) => buffer));
    const heldBytes = [...held].reduce((sum, { byteLength }) => sum + byteLength, 0);
    t.true(heldBytes <= 2 * counted, `${heldBytes} of ${counted}`);
  };
  fc.assert(fc.property(sizes, isKept), { seed: SEED, numRuns: 200 });
});
