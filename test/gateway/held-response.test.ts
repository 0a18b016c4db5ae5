/**
 * Guards against bytes that stay counted after a connection closed, and against a dropped response
 * that ends its request twice or not at all.
 */
import test from 'ava';
import { HeldResponse } from '../../src/coordination/gateway/held-response.js';
import { RecordedReply } from '../../src/lab/gateway-simulation/recorded-reply.js';
import { VirtualClock } from '../../src/runtime/virtual-clock.js';
import { ByteBudget, byteBudgetOf } from '../../src/state/routing/byte-budget.js';

const TOTAL = 16_000;

/** A reply whose caller takes bytes only on demand. */
class StoppedReply extends RecordedReply {
  writtenBytes = 0;
  private listener: (isClosed: boolean) => void = () => undefined;

  override get heldBytes(): number {
    return this.writtenBytes;
  }

  override onTaken(listener: (isClosed: boolean) => void): void {
    super.onTaken(listener);
    this.listener = listener;
  }

  take(bytes: number): void {
    this.writtenBytes -= bytes;
    this.listener(false);
  }
}

interface Harness {
  readonly reply: StoppedReply;
  readonly held: HeldResponse;
  readonly calls: string[];
}

function open(budget: ByteBudget): Harness {
  const reply = new StoppedReply();
  const calls: string[] = [];
  const held = new HeldResponse(reply, new VirtualClock(), (drop) => budget.openResponse(0, drop));
  held.onRoom = () => calls.push('room');
  held.onDropped = () => calls.push('dropped');
  return { reply, held, calls };
}

test('bytes that were written and those that were not are released when the connection closes', (t) => {
  const budget = new ByteBudget(byteBudgetOf(TOTAL));
  const { reply, held } = open(budget);
  reply.writtenBytes = 300;
  held.update(200);
  t.is(budget.heldBytes, 500);
  reply.disconnect();
  t.is(budget.heldBytes, 0);
  held.update(200);
  t.is(budget.heldBytes, 0);
});

test('a paused stream continues once, when its caller has taken half of the share', (t) => {
  const { reply, held, calls } = open(new ByteBudget(byteBudgetOf(TOTAL)));
  reply.writtenBytes = 1_001;
  t.false(held.update(0));
  reply.take(500);
  t.deepEqual(calls, []);
  reply.take(1);
  reply.take(100);
  t.deepEqual(calls, ['room']);
});

test('a dropped response ends its request, or only its connection if the engine has completed it', (t) => {
  const budget = new ByteBudget(byteBudgetOf(TOTAL));
  const [running, complete] = [open(budget), open(budget)];
  running.reply.writtenBytes = TOTAL + 1;
  running.held.update(0);
  t.deepEqual(running.calls.slice(0, 1), ['dropped']);
  t.is(running.reply.ending, undefined);
  complete.reply.writtenBytes = TOTAL + 1;
  complete.held.complete();
  t.deepEqual([complete.calls, complete.reply.ending], [[], 'aborted']);
  t.is(budget.heldBytes, 0);
});
