/** Writes log lines to a file descriptor without blocking; drops lines when its buffer is full. */
import { write, writeSync } from 'node:fs';

/** Writes bytes to a descriptor; `fs.write`, or a fake in tests. */
export type WriteBytes = (
  descriptor: number,
  bytes: Buffer,
  onDone: (error: Error | null, written: number) => void,
) => void;

/** Maximum size of the buffer; further lines are counted and dropped. */
const MAXIMUM_PENDING_BYTES = 1_048_576;

const writeToDescriptor: WriteBytes = (descriptor, bytes, onDone) => {
  write(descriptor, bytes, onDone);
};

/** Schedules the write of a batch of lines; a fake in tests. */
export type ScheduleWrite = (onDue: () => void) => void;

/** Lines within this interval are written together, because a write per line is expensive. */
const BATCH_INTERVAL_MS = 40;

const afterBatchInterval: ScheduleWrite = (onDue) => {
  setTimeout(onDue, BATCH_INTERVAL_MS).unref();
};

/** Performs one write at a time; lines added meanwhile are written together afterwards. */
export class BoundedLineWriter {
  private pending: Buffer[] = [];
  private pendingBytes = 0;
  private dropped = 0;
  private isWriting = false;
  private isScheduled = false;

  constructor(
    private readonly descriptor: number,
    private readonly writeBytes: WriteBytes = writeToDescriptor,
    private readonly maximumBytes = MAXIMUM_PENDING_BYTES,
    private readonly schedule: ScheduleWrite = afterBatchInterval,
  ) {}

  /** Number of dropped lines that haven't been reported in the log yet. */
  get droppedLines(): number {
    return this.dropped;
  }

  writeLine(line: string): void {
    const bytes = Buffer.from(`${line}\n`);
    if (this.pendingBytes + bytes.length > this.maximumBytes) {
      this.dropped += 1;
      return;
    }
    this.pending.push(bytes);
    this.pendingBytes += bytes.length;
    this.scheduleWrite();
  }

  /**
   * Writes the buffered lines before the process exits; lines that a slow reader doesn't accept are
   * lost.
   */
  flushAtExit(): void {
    if (this.pending.length === 0) return;
    const bytes = Buffer.concat(this.pending);
    this.pending = [];
    try {
      writeSync(this.descriptor, bytes);
    } catch {
      // The reader has closed or is blocked, and there is no other output for the error.
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
      this.pending.push(Buffer.from(`event=log_lines_dropped count=${this.dropped}\n`));
      this.dropped = 0;
    }
    const bytes = Buffer.concat(this.pending);
    this.pending = [];
    this.pendingBytes = 0;
    if (bytes.length === 0) {
      this.isWriting = false;
      return;
    }
    this.isWriting = true;
    this.writeAll(bytes);
  }

  private writeAll(bytes: Buffer): void {
    this.writeBytes(this.descriptor, bytes, (error, written) => {
      // If the reader has closed, the lines are lost and the process continues.
      if (error || written >= bytes.length) this.writeNext();
      else this.writeAll(bytes.subarray(written));
    });
  }
}
