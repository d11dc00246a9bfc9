/**
 * Loaded into every process of a fleet before its own code: stops the process
 * in the planned way when the fleet runner is gone, however that ended, and
 * kills it when it does not stop.
 */

/** Milliseconds. */
const STOP_PATIENCE = 15_000;

process.on('disconnect', () => {
  process.kill(process.pid, 'SIGTERM');
  setTimeout(() => process.kill(process.pid, 'SIGKILL'), STOP_PATIENCE).unref();
});
// The channel alone does not keep the process running.
process.channel?.unref();
