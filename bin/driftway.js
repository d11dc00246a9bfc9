#!/usr/bin/env node
import { runDriftway } from '../dist/src/commands/driftway.js';

process.exitCode = await runDriftway(process.argv.slice(2));
