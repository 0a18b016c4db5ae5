/** Signals of a daemon: the first stops it in order, a second one at once. */
import type { Logger } from '../runtime/logger.js';

const EXIT_STOPPED = 0;
const EXIT_FORCED = 1;

/** Runs `stop` on SIGTERM or SIGINT and exits 0; a second signal exits at once. */
export function stopOnSignal(logger: Logger, stop: () => Promise<void>): void {
  let stopping = false;
  const onSignal = (signal: NodeJS.Signals): void => {
    if (stopping) process.exit(EXIT_FORCED);
    stopping = true;
    logger.info('stopping', { signal });
    stop().then(
      () => process.exit(EXIT_STOPPED),
      (error: unknown) => {
        logger.error('stop_failed', { reason: String(error) });
        process.exit(EXIT_FORCED);
      },
    );
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}
