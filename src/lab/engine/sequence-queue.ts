/** The waiting and running sequences of one engine. */
import type { EngineSequence } from './sequence.js';

/** Orders waiting sequences by priority and arrival, and running ones by admission. */
export class SequenceQueue {
  private waitingSequences: EngineSequence[] = [];
  private runningSequences: EngineSequence[] = [];

  get waiting(): readonly EngineSequence[] {
    return this.waitingSequences;
  }

  get running(): readonly EngineSequence[] {
    return this.runningSequences;
  }

  /** Number of sequences that wait or run. */
  get size(): number {
    return this.waitingSequences.length + this.runningSequences.length;
  }

  /** Adds a sequence after all waiting ones of the same or a higher priority. */
  enqueue(sequence: EngineSequence): void {
    const index = this.waitingSequences.findIndex((other) => other.priority < sequence.priority);
    if (index < 0) this.waitingSequences.push(sequence);
    else this.waitingSequences.splice(index, 0, sequence);
  }

  /** Moves the first waiting sequence to the running ones; returns undefined if none waits. */
  admitNext(): EngineSequence | undefined {
    const sequence = this.waitingSequences.shift();
    if (sequence) this.runningSequences.push(sequence);
    return sequence;
  }

  remove(sequence: EngineSequence): void {
    this.runningSequences = this.runningSequences.filter((other) => other !== sequence);
    this.waitingSequences = this.waitingSequences.filter((other) => other !== sequence);
  }

  clear(): void {
    this.waitingSequences = [];
    this.runningSequences = [];
  }
}
