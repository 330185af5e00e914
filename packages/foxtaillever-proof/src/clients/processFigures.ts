/** Memory and descriptors of another process, as the operating system counts them. */
import { existsSync, readdirSync, readFileSync } from 'node:fs'

const BYTES_PER_KILOBYTE = 1024

/** Largest resident memory since the start of the process, bytes. */
export function peakMemoryOf (pid: number): number {
  const [, kilobytes = '0'] = /^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8')) ?? []
  return Number(kilobytes) * BYTES_PER_KILOBYTE
}

/** 0 for a process that has ended. */
export function openDescriptorsOf (pid: number): number {
  const folder = `/proc/${pid}/fd`
  return existsSync(folder) ? readdirSync(folder).length : 0
}
