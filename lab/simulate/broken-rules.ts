/** Builds of the daemons that break one rule each; nothing but the simulator makes one. */
import type { RaftFaults } from '../../src/consensus/raft-faults.js';
import {
  NO_CONTROL_STREAM_FAULTS,
  type ControlStreamFaults,
} from '../../src/control-stream/control-stream-faults.js';
import { NO_ROUTER_FAULTS, type RouterFaults } from '../../src/router/router-faults.js';

/** The switches of all daemons of one fleet. */
export interface BrokenRules {
  readonly router: RouterFaults;
  readonly controlStream: ControlStreamFaults;
  readonly raft: RaftFaults;
}

/** The shipped code, unchanged. */
export const NO_BROKEN_RULES: BrokenRules = {
  router: NO_ROUTER_FAULTS,
  controlStream: NO_CONTROL_STREAM_FAULTS,
  raft: {},
};
