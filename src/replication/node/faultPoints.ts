/** Named places at which tests end the process. */

/** Places on the way of a command from its append to its answer. */
export type FaultPoint =
	'beforeAppend' | 'beforeSync' | 'afterSync' | 'beforeApply' | 'beforeReply' | 'afterReply';

/** Called at each place; does nothing outside tests. */
export type FaultPointHandler = (point: FaultPoint) => void;

/** The handler of a process that isn't under test. */
export const noFaults: FaultPointHandler = () => undefined;
