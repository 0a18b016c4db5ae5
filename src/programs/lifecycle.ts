/** Signal handling of daemons: the first signal stops gracefully, the second exits immediately. */
import type { Logger } from '../runtime/logger.js';

const EXIT_STOPPED = 0;
const EXIT_FORCED = 1;

/** Runs `stop` on SIGTERM or SIGINT and exits with code 0; a second signal exits immediately. */
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
