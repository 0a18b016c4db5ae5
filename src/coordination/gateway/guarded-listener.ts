/** Confines exceptions in the handling of an exchange's events to its request. */
import type {
  EngineNotice,
  ExchangeConnection,
  ExchangeFailure,
  ExchangeListener,
  ResponseHead,
} from '../../protocol/inference/port.js';

/** Passes the events of one exchange on; an exception is reported in place of the event. */
export class GuardedListener implements ExchangeListener {
  constructor(
    private readonly listener: Required<ExchangeListener>,
    private readonly onError: (error: unknown) => void,
  ) {}

  onConnected(connection: ExchangeConnection): void {
    this.run(() => this.listener.onConnected(connection));
  }

  onBodyTaken(): void {
    this.run(() => this.listener.onBodyTaken());
  }

  onNotice(notice: EngineNotice): void {
    this.run(() => this.listener.onNotice(notice));
  }

  onHead(head: ResponseHead): void {
    this.run(() => this.listener.onHead(head));
  }

  /** Without a closure, as there are many chunks. */
  onChunk(chunk: Uint8Array): void {
    try {
      this.listener.onChunk(chunk);
    } catch (error) {
      this.onError(error);
    }
  }

  onEnd(): void {
    this.run(() => this.listener.onEnd());
  }

  onFailure(failure: ExchangeFailure): void {
    this.run(() => this.listener.onFailure(failure));
  }

  private run(event: () => void): void {
    try {
      event();
    } catch (error) {
      this.onError(error);
    }
  }
}
