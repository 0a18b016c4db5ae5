/** Mutations on routers that give up responses that have begun although their engines go on. */
import type { RouterView } from '../src/lab/gateway-simulation/simulation-mutation.js';
import type {
  EngineNotice,
  Exchange,
  ExchangeConnection,
  ExchangeFailure,
  ExchangeListener,
  ResponseHead,
} from '../src/protocol/inference/port.js';
import type { Clock, Timer } from '../src/runtime/clock.js';
import type { RoutingConfiguration } from '../src/state/routing/configuration.js';
import { changePort } from './change-port.js';
import type { GatewayMutation } from './gateway-mutations.js';

/** Longer than engines pause between two events. */
const SILENCE_TIMEOUT_MS = 100;

/** Mutations that the fuzz test on silent engines must detect. */
export const SILENT_ENGINE_MUTATIONS: readonly GatewayMutation[] = [
  {
    name: 'the response of a silent engine is cancelled before another one is certain',
    rule: 'begun-response-completed',
    mutation: { makeView: (clock) => (view) => cancelSilent(view, clock) },
  },
  {
    name: 'a response that has begun is reset when its route is removed',
    rule: 'begun-response-completed',
    mutation: { makeView: () => resetWithoutRoute },
  },
];

/** A response that has begun and that the mutation may give up. */
class BegunResponse implements ExchangeListener {
  exchange: Exchange | undefined;
  hasBegun = false;
  private isEnded = false;

  constructor(
    private readonly listener: ExchangeListener,
    /** Called with each part of the response. */
    private readonly onActivity: (response: BegunResponse) => void,
    private readonly onEnded: (response: BegunResponse) => void,
  ) {}

  onConnected(connection: ExchangeConnection): void {
    this.listener.onConnected?.(connection);
  }

  onNotice(notice: EngineNotice): void {
    this.listener.onNotice(notice);
  }

  onBodyTaken(): void {
    this.listener.onBodyTaken?.();
  }

  onHead(head: ResponseHead): void {
    this.hasBegun = true;
    this.onActivity(this);
    this.listener.onHead(head);
  }

  onChunk(chunk: Uint8Array): void {
    this.onActivity(this);
    this.listener.onChunk(chunk);
  }

  onEnd(): void {
    this.end();
    this.listener.onEnd();
  }

  onFailure(failure: ExchangeFailure): void {
    this.end();
    this.listener.onFailure(failure);
  }

  /** Cancels the exchange, as the router does, and reports its response as cut. */
  giveUp(reason: string): void {
    if (this.isEnded) return;
    this.exchange?.cancel();
    this.onFailure({ kind: 'cut', reason });
  }

  end(): void {
    this.isEnded = true;
    this.onEnded(this);
  }
}

/** Sends through the engines of a view and observes each response. */
function observeResponses(
  view: RouterView,
  observe: (listener: ExchangeListener, target: string) => BegunResponse,
): RouterView {
  const engines = changePort(view.engines, {
    send: (endpoint, request, options, listener) => {
      const response = observe(listener, request.target);
      const exchange = view.engines.send(endpoint, request, options, response);
      response.exchange = exchange;
      return {
        cancel: () => {
          response.end();
          exchange.cancel();
        },
        pause: () => exchange.pause(),
        resume: () => exchange.resume(),
      };
    },
  });
  return { ...view, engines };
}

function cancelSilent(view: RouterView, clock: Clock): RouterView {
  const timers = new Map<BegunResponse, Timer>();
  const stop = (response: BegunResponse): void => {
    timers.get(response)?.cancel();
    timers.delete(response);
  };
  const restart = (response: BegunResponse): void => {
    stop(response);
    const giveUp = (): void => response.giveUp('silent');
    timers.set(response, clock.setTimer(SILENCE_TIMEOUT_MS, giveUp));
  };
  return observeResponses(view, (listener) => new BegunResponse(listener, restart, stop));
}

function resetWithoutRoute(view: RouterView): RouterView {
  const targets = new Map<BegunResponse, string>();
  const stop = (response: BegunResponse): void => void targets.delete(response);
  const observed = observeResponses(view, (listener, target) => {
    const response = new BegunResponse(listener, () => undefined, stop);
    targets.set(response, target);
    return response;
  });
  const giveUpWithoutRoute = ({ routes }: RoutingConfiguration): void => {
    for (const [response, target] of [...targets]) {
      const isRouted = routes.some(({ pathPrefix }) => target.startsWith(pathPrefix));
      if (!isRouted && response.hasBegun) response.giveUp('no-route');
    }
  };
  const { decoder } = view;
  return {
    ...observed,
    decoder: {
      ...decoder,
      configuration: (object) => {
        const decoded = decoder.configuration(object);
        if (decoded.kind === 'value') giveUpWithoutRoute(decoded.value);
        return decoded;
      },
    },
  };
}
