/** Processor time and memory of a process, read from the proc file system, so that no process measures itself. */

import { readFileSync } from 'node:fs';

/** What a process has used. */
export interface ProcessUsage {
	/** Processor time in user and kernel mode since the process started. */
	readonly cpuMs: number;
	readonly residentBytes: number;
}

/** Clock ticks a second in which the kernel counts processor time; fixed for programs on Linux. */
const ticksPerSecond = 100;
const bytesPerKilobyte = 1024;
/** Places of the user and kernel time in the fields that follow the command name. */
const userTicksField = 11;
const kernelTicksField = 12;

/**
 * Reads the usage of a live process.
 *
 * @throws Error when there is no such process
 * @example
 * const before = readProcessUsage(entry.pid);
 */
export function readProcessUsage(pid: number): ProcessUsage {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	const ticks = Number(fields[userTicksField]) + Number(fields[kernelTicksField]);
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	const residentKilobytes = Number(/^VmRSS:\s+(\d+)/m.exec(status)?.[1] ?? 0);
	return { cpuMs: (ticks / ticksPerSecond) * 1000, residentBytes: residentKilobytes * bytesPerKilobyte };
}
