#!/usr/bin/env node
/** Entry point of the `yuccaarch` program. Each role and command is a subcommand, whose module is loaded on use. */

import { defineCommand, runMain } from 'citty';

const main = defineCommand({
	meta: {
		name: 'yuccaarch',
		version: '0.1.0',
		description: 'Dispatches sub-second tasks, each of them once, and returns complete results.',
	},
	subCommands: {
		entry: () => import('./commands/entryCommand.js').then((module) => module.entryCommand),
		agent: () => import('./commands/agentCommand.js').then((module) => module.agentCommand),
		keeper: () => import('./commands/keeperCommand.js').then((module) => module.keeperCommand),
		upstream: () => import('./commands/upstreamCommand.js').then((module) => module.upstreamCommand),
		check: () => import('./commands/checkCommand.js').then((module) => module.checkCommand),
		diff: () => import('./commands/diffCommand.js').then((module) => module.diffCommand),
		apply: () => import('./commands/applyCommand.js').then((module) => module.applyCommand),
		get: () => import('./commands/getCommand.js').then((module) => module.getCommand),
		history: () => import('./commands/historyCommand.js').then((module) => module.historyCommand),
		status: () => import('./commands/statusCommand.js').then((module) => module.statusCommand),
		member: () => import('./commands/memberCommand.js').then((module) => module.memberCommand),
		drain: () => import('./commands/drainCommand.js').then((module) => module.drainCommand),
		burn: () => import('./commands/burnCommand.js').then((module) => module.burnCommand),
		explain: () => import('./commands/explainCommand.js').then((module) => module.explainCommand),
		demo: () => import('./commands/demoCommand.js').then((module) => module.demoCommand),
		bench: () => import('./commands/benchCommand.js').then((module) => module.benchCommand),
		'bench-compare': () =>
			import('./commands/benchCompareCommand.js').then((module) => module.benchCompareCommand),
		soak: () => import('./commands/soakCommand.js').then((module) => module.soakCommand),
		slopes: () => import('./commands/slopesCommand.js').then((module) => module.slopesCommand),
	},
});

await runMain(main);
