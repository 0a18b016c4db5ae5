/** The sequences of one engine that wait and that run. */
import type { EngineSequence } from './sequence.js';

/** Waiting sequences by priority and arrival, running ones by admission. */
export class SequenceQueue {
  private waitingSequences: EngineSequence[] = [];
  private runningSequences: EngineSequence[] = [];

  get waiting(): readonly EngineSequence[] {
    return this.waitingSequences;
  }

  get running(): readonly EngineSequence[] {
    return this.runningSequences;
  }

  /** Sequences waiting or running. */
  get size(): number {
    return this.waitingSequences.length + this.runningSequences.length;
  }

  /** Higher priority first, then arrival. */
  enqueue(sequence: EngineSequence): void {
    const index = this.waitingSequences.findIndex((other) => other.priority < sequence.priority);
    if (index < 0) this.waitingSequences.push(sequence);
    else this.waitingSequences.splice(index, 0, sequence);
  }

  /** Moves the first waiting sequence to the running ones; undefined where none waits. */
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
