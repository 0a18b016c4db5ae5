#!/usr/bin/env node
/**
 * Counts how requests and sends ended in logs of routers, by cause, so that the largest cause comes
 * first. Reads log lines of key=value pairs from files or standard input; text before and after the
 * pairs, such as a machine's name, is passed over.
 *
 * Usage: node scripts/count-outcomes.mjs [FILE...]
 */
import { createReadStream } from 'node:fs';
import { createInterface } from 'node:readline';

const PAIR = /(\w+)=("[^"]*"|\S*)/g;
const REQUEST_EVENTS = new Set(['request_sent', 'send_failed', 'request_finished']);

/** Counters by cause. */
class Tally {
  #counts = new Map();

  add(cause) {
    this.#counts.set(cause, (this.#counts.get(cause) ?? 0) + 1);
  }

  print(title) {
    const rows = [...this.#counts].sort(([, left], [, right]) => right - left);
    console.log(`${title}: ${rows.reduce((sum, [, count]) => sum + count, 0)}`);
    for (const [cause, count] of rows) console.log(`  ${String(count).padStart(6)}  ${cause}`);
  }
}

function parseLine(line) {
  return Object.fromEntries([...line.matchAll(PAIR)].map(([, key, value]) => [key, value]));
}

async function* eventsOf(files) {
  const streams = files.length > 0 ? files.map((file) => createReadStream(file)) : [process.stdin];
  for (const input of streams) {
    for await (const line of createInterface({ input })) {
      const event = parseLine(line);
      if (REQUEST_EVENTS.has(event.event)) yield event;
    }
  }
}

const outcomes = new Tally();
const failedSends = new Tally();
const repeats = new Tally();
/** Reason for which each request's last send failed. */
const lastFailure = new Map();

for await (const event of eventsOf(process.argv.slice(2))) {
  if (event.event === 'send_failed') {
    failedSends.add(`${event.kind} ${event.reason}`);
    lastFailure.set(event.request, event.reason);
  } else if (event.event === 'request_finished') {
    const status = event.own_status ?? event.answer_status;
    const outcome = status === undefined ? event.outcome : `${event.outcome} (${status})`;
    outcomes.add(outcome);
    const reason = lastFailure.get(event.request);
    if (reason === undefined) continue;
    repeats.add(`after ${reason}, ${event.sends} sends: ${outcome}`);
    lastFailure.delete(event.request);
  }
}
outcomes.print('Requests by outcome');
failedSends.print('Failed sends by cause');
repeats.print('Requests with a failed send');
