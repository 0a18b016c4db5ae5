/** Planned stops of simulated routers, and routers that are short of processor time. */
import type { GatewayNode } from '../../coordination/gateway/gateway-node.js';
import type { ShutdownSchedule } from '../../coordination/gateway/shutdown.js';
import type { Clock } from '../../runtime/clock.js';
import type { HostClock } from '../simulation/host-clock.js';
import { CLOSE_ALLOWANCE_MS } from './disturbances.js';
import type { SimulatedInference } from './simulated-inference.js';

/** Time after the signal in which a router begins requests, as in `platform/`. */
const ACCEPT_AFTER_STOP_MS = 3_000;

/** A router and what happens to its process. */
interface StoppableRouter {
  readonly node: GatewayNode;
  readonly host: HostClock;
  isStopping: boolean;
  isThrottled: boolean;
}

/** A router and its access to engines. */
export interface RunningRouter extends StoppableRouter {
  readonly inference: SimulatedInference;
}

/** How a process is kept short of processor time, in milliseconds. */
export interface Throttle {
  readonly pauseMs: number;
  readonly periodMs: number;
}

/** A signal to stop, on the shared clock. */
interface StopSignal {
  readonly sentMs: number;
  readonly graceMs: number;
  readonly change: ((schedule: ShutdownSchedule, delayMs: number) => ShutdownSchedule) | undefined;
}

/** Whether what is sent to a router arrives, now or when its process runs again. */
export function isReachable({ host, isThrottled }: StoppableRouter): boolean {
  return host.isRunning || (isThrottled && !host.isStopped);
}

/** Sends a signal to a router, whose process handles it after a while, as soon as it runs. */
export function sendStopSignal(
  router: StoppableRouter,
  signal: StopSignal,
  noticedAfterMs: number,
  clock: Clock,
): void {
  const deliver = (): void => router.host.deliver(() => beginStop(router, signal, clock));
  if (noticedAfterMs > 0) clock.setTimer(noticedAfterMs, deliver);
  else deliver();
}

/** Begins the stop of a router that has noticed its signal. Its times count from the signal. */
function beginStop(router: StoppableRouter, signal: StopSignal, clock: Clock): void {
  const { node, host } = router;
  const { sentMs, graceMs, change } = signal;
  const delayMs = clock.now() - sentMs;
  const hostSentMs = host.now() - delayMs;
  const endMs = hostSentMs + graceMs - CLOSE_ALLOWANCE_MS;
  const acceptUntilMs = Math.min(endMs, hostSentMs + ACCEPT_AFTER_STOP_MS);
  const schedule = { acceptUntilMs, endMs };
  node.leave(change?.(schedule, delayMs) ?? schedule);
  host.setTimer(endMs - host.now(), () => node.stop());
}

/** Pauses a process for a part of each period, until a time of the shared clock. */
export function runThrottled(
  router: StoppableRouter,
  { pauseMs, periodMs }: Throttle,
  untilMs: number,
  clock: Clock,
): void {
  const { host } = router;
  const runPeriod = (): void => {
    router.isThrottled = !host.isStopped && clock.now() < untilMs;
    if (!router.isThrottled) return;
    host.pause();
    clock.setTimer(pauseMs, () => host.unpause());
    clock.setTimer(periodMs, runPeriod);
  };
  runPeriod();
}
