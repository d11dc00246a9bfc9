#!/usr/bin/env node
import { runDriftwayLab } from '../dist/lab/commands/driftway-lab.js';

process.exitCode = await runDriftwayLab(process.argv.slice(2));
