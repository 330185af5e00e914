/** A stream of which the caller has received one event, at a server that is silent from then on. */
import { setTimeout as wait } from 'node:timers/promises'
import type { Route } from '../model/routing.js'
import { RelayRig } from './relayRig.js'
import { chunk, streamHead, type Answer, type Arrival } from './scriptedServer.js'

export const resumableStream = { isStream: true, isResumable: true }

/** Longer than any pause for which an attempt is not taken for silent, milliseconds. */
export const SILENCE_MS = 1100

/** Longest wait for what arrives within a moment on loopback, milliseconds. */
const MAX_WAIT_MS = 5000

export const LAST_CHUNK = '0\r\n\r\n'

export function event (id: number): string {
  return chunk(`id: ${id}\n\n`)
}

function sendFirstEvent (arrival: Arrival): void {
  arrival.socket.write(streamHead(arrival) + event(1))
}

export function idsOf (text: string): string[] {
  return [...text.matchAll(/id: (\d+)/g)].map(([, id = '']) => id)
}

export class SilentStream {
  private text = ''
  private readonly answer: Promise<void>

  private constructor (readonly rig: RelayRig) {
    const socket = rig.connect()
    socket.write('POST /p HTTP/1.1\r\nhost: h\r\nrequest-id: a\r\nconnection: close\r\ncontent-length: 0\r\n\r\n')
    socket.on('data', bytes => { this.text += bytes.toString('latin1') })
    this.answer = new Promise(resolve => socket.once('close', () => resolve()))
  }

  /** @param others answer whatever the first server's attempt is followed by. */
  static async begin (...others: Answer[]): Promise<SilentStream> {
    return await SilentStream.beginOn({}, ...others)
  }

  /** @param route what differs from a resumable stream with two attempts. */
  static async beginOn (route: Partial<Route>, ...others: Answer[]): Promise<SilentStream> {
    const rig = await RelayRig.start({ ...resumableStream, ...route }, sendFirstEvent, ...others)
    const silent = new SilentStream(rig)
    await silent.receives(1)
    await rig.clock.advanceBy(SILENCE_MS)
    return silent
  }

  get isComplete (): boolean {
    return this.text.endsWith(LAST_CHUNK)
  }

  /** Waits until the caller has this number of events. */
  async receives (count: number): Promise<void> {
    for (let ms = 0; ms < MAX_WAIT_MS && idsOf(this.text).length < count; ms += 1) {
      await wait(1)
    }
  }

  /** Whether the server's connection for the stream is closed soon. */
  async isClosedAt (server: number): Promise<boolean> {
    return await Promise.race([this.rig.servers[server]?.closed(0).then(() => true), wait(MAX_WAIT_MS, false)]) ?? false
  }

  send (server: number, text: string): void {
    this.rig.servers[server]?.arrivals[0]?.socket.write(text)
  }

  async end (): Promise<string[]> {
    await Promise.race([this.answer, wait(MAX_WAIT_MS)])
    this.rig.stop()
    return idsOf(this.text)
  }
}
