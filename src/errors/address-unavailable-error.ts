/** An address that cannot be listened on yet. */
import { ConnectionError } from './connection-error.js';

/** Another process holds the address, or no interface has it: both may change without this process. */
export class AddressUnavailableError extends ConnectionError {
  constructor(address: string, message: string, cause?: unknown) {
    super('listen', address, message, cause);
  }
}
