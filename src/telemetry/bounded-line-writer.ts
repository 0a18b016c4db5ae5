/** Writes log lines to a file descriptor without ever blocking; drops lines when too many wait. */
import { write, writeSync } from 'node:fs';

/** Writes bytes to a descriptor and calls back; `fs.write`, or a stand-in in tests. */
export type WriteBytes = (
  descriptor: number,
  bytes: Buffer,
  onDone: (error: Error | null, written: number) => void,
) => void;

/** Bytes that may wait; further lines are counted and dropped. */
const MAXIMUM_WAITING_BYTES = 1_048_576;

const writeToDescriptor: WriteBytes = (descriptor, bytes, onDone) => {
  write(descriptor, bytes, onDone);
};

/** Calls back after the time in which lines are gathered; a stand-in in tests. */
export type ScheduleWrite = (onDue: () => void) => void;

/**
 * Lines of this time go out in one write. A write for each line took 18% of a router's main thread
 * under requests (profile of two routers under 460 requests a second).
 */
const GATHERING_MS = 40;

const afterGathering: ScheduleWrite = (onDue) => {
  setTimeout(onDue, GATHERING_MS).unref();
};

/** One write is under way at a time; what comes meanwhile goes out together with the next. */
export class BoundedLineWriter {
  private waiting: Buffer[] = [];
  private waitingBytes = 0;
  private dropped = 0;
  private isWriting = false;
  private isScheduled = false;

  constructor(
    private readonly descriptor: number,
    private readonly writeBytes: WriteBytes = writeToDescriptor,
    private readonly maximumBytes = MAXIMUM_WAITING_BYTES,
    private readonly schedule: ScheduleWrite = afterGathering,
  ) {}

  /** Lines dropped and not yet told of. */
  get droppedLines(): number {
    return this.dropped;
  }

  writeLine(line: string): void {
    const bytes = Buffer.from(`${line}\n`);
    if (this.waitingBytes + bytes.length > this.maximumBytes) {
      this.dropped += 1;
      return;
    }
    this.waiting.push(bytes);
    this.waitingBytes += bytes.length;
    this.scheduleWrite();
  }

  /** Writes what waits before the process ends; what a slow reader does not take is lost. */
  flushAtExit(): void {
    if (this.waiting.length === 0) return;
    const bytes = Buffer.concat(this.waiting);
    this.waiting = [];
    try {
      writeSync(this.descriptor, bytes);
    } catch {
      // The reader is gone or full, and there is no other place to tell it.
    }
  }

  private scheduleWrite(): void {
    if (this.isWriting || this.isScheduled) return;
    this.isScheduled = true;
    this.schedule(() => {
      this.isScheduled = false;
      this.writeNext();
    });
  }

  private writeNext(): void {
    if (this.dropped > 0) {
      this.waiting.push(Buffer.from(`event=log_lines_dropped count=${this.dropped}\n`));
      this.dropped = 0;
    }
    const bytes = Buffer.concat(this.waiting);
    this.waiting = [];
    this.waitingBytes = 0;
    if (bytes.length === 0) {
      this.isWriting = false;
      return;
    }
    this.isWriting = true;
    this.writeAll(bytes);
  }

  private writeAll(bytes: Buffer): void {
    this.writeBytes(this.descriptor, bytes, (error, written) => {
      // A reader that is gone can't be told; the lines are lost and the process goes on.
      if (error || written >= bytes.length) this.writeNext();
      else this.writeAll(bytes.subarray(written));
    });
  }
}
