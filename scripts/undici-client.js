/** The parts of undici that the daemons use; the whole package takes three times as long to load. */
import Client from '../node_modules/undici/lib/dispatcher/client.js';
import buildConnector from '../node_modules/undici/lib/core/connect.js';
import errors from '../node_modules/undici/lib/core/errors.js';

export { Client, buildConnector, errors };
