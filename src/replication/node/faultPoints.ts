/** Fault points: named places at which tests kill the process. */

/** Places that a command passes between its append and its answer, in order. */
export type FaultPoint =
	'beforeAppend' | 'beforeSync' | 'afterSync' | 'beforeApply' | 'beforeReply' | 'afterReply';

/** Called whenever a fault point is reached; does nothing outside tests. */
export type FaultPointHandler = (point: FaultPoint) => void;

/** Handles fault points outside tests by doing nothing. */
export const ignoreFaultPoint: FaultPointHandler = () => undefined;
